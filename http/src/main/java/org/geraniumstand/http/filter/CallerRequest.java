package org.geraniumstand.http.filter;

import java.util.List;
import java.util.Optional;
import org.geraniumstand.support.net.HttpBody;
import org.geraniumstand.support.net.HttpRequest.Header;

/**
 * A caller's request on its way through the filters.
 *
 * @param callerRequestId the caller's name for it, or one minted here
 * @param method the HTTP method
 * @param path the request path as the caller wrote it
 * @param query the query, without question mark, may be empty
 * @param bearerToken the caller's bearer token, if any
 * @param idempotencyKey the caller's idempotency key, if any
 * @param timeoutSeconds how long the caller waits, as it wrote it, if it did
 * @param lastEventId last event of a stream that the caller has, as it wrote it, if it reconnects
 * @param repeatedHeaders names of headers that stand more than once and must not
 * @param passed headers that go on to the backend server
 * @param body the body
 */
public record CallerRequest(
        String callerRequestId,
        String method,
        String path,
        String query,
        Optional<String> bearerToken,
        Optional<String> idempotencyKey,
        Optional<String> timeoutSeconds,
        Optional<String> lastEventId,
        List<String> repeatedHeaders,
        List<Header> passed,
        HttpBody body) {
    /** Copies the lists. */
    public CallerRequest {
        repeatedHeaders = List.copyOf(repeatedHeaders);
        passed = List.copyOf(passed);
    }

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
                idempotencyKey,
                timeoutSeconds,
                lastEventId,
                repeatedHeaders,
                passed,
                read);
    }

    /** Returns path and query. */
    public String target() {
        return query.isEmpty() ? path : path + "?" + query;
    }
}
