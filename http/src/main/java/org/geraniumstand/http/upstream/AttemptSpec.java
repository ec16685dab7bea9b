package org.geraniumstand.http.upstream;

import java.util.List;
import org.geraniumstand.decisions.Action.AttemptLimits;
import org.geraniumstand.support.net.HttpBody;
import org.geraniumstand.support.net.HttpRequest.Header;

/**
 * What to send to a backend server.
 *
 * @param address IP number that it listens on
 * @param port port that it listens on
 * @param method the HTTP method
 * @param path path and query
 * @param headers headers beside host, content length and identity
 * @param identity names this attempt; the answer must carry it or no identity at all
 * @param body the body
 * @param limits its time limits
 */
public record AttemptSpec(
        String address,
        int port,
        String method,
        String path,
        List<Header> headers,
        String identity,
        HttpBody body,
        AttemptLimits limits) {
    /** Copies the list. */
    public AttemptSpec {
        headers = List.copyOf(headers);
    }
}
