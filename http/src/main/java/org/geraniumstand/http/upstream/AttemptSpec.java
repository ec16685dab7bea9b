package org.geraniumstand.http.upstream;

import java.util.Optional;
import org.geraniumstand.decisions.Action.AttemptLimits;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.platform.net.HttpBody;

/**
 * What to send to a backend server.
 *
 * @param server the backend server
 * @param method the HTTP method
 * @param path path and query
 * @param contentType type of the body, if any
 * @param idempotencyKey the caller's idempotency key, if any
 * @param identity names this attempt; the answer must carry it or no identity at all
 * @param body the body
 * @param limits its time limits
 */
public record AttemptSpec(
        BackendServer server,
        String method,
        String path,
        Optional<String> contentType,
        Optional<String> idempotencyKey,
        String identity,
        HttpBody body,
        AttemptLimits limits) {}
