package org.geraniumstand.http.filter;

import java.util.Optional;
import org.geraniumstand.platform.net.HttpBody;

/**
 * A caller's request on its way through the filters.
 *
 * @param callerRequestId the caller's name for it, or one minted here
 * @param method the HTTP method
 * @param path the request path
 * @param query the query, without question mark, may be empty
 * @param bearerToken the caller's bearer token, if any
 * @param contentType type of the body, if any
 * @param idempotencyKey the caller's idempotency key, if any
 * @param timeoutSeconds how long the caller waits, as it wrote it, if it did
 * @param lastEventId last event of a stream that the caller has, if it reconnects
 * @param body the body
 */
public record CallerRequest(
        String callerRequestId,
        String method,
        String path,
        String query,
        Optional<String> bearerToken,
        Optional<String> contentType,
        Optional<String> idempotencyKey,
        Optional<String> timeoutSeconds,
        Optional<String> lastEventId,
        HttpBody body) {
    /**
     * Returns this request with its body.
     *
     * @param read the body that was read
     */
    public CallerRequest withBody(HttpBody read) {
        return new CallerRequest(
                callerRequestId,
                method,
                path,
                query,
                bearerToken,
                contentType,
                idempotencyKey,
                timeoutSeconds,
                lastEventId,
                read);
    }
}
