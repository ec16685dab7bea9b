package org.geraniumstand.support.net;

import java.util.Optional;
import java.util.function.Function;

/**
 * Holds the complete response to an HTTP request.
 *
 * @param status the HTTP status code
 * @param body the response body
 * @param header function that returns the first value of a header by its name
 */
public record FullHttpResponse(int status, HttpBody body, Function<String, Optional<String>> header) {
    /** Returns the body decoded as UTF-8. */
    public String text() {
        return body.text();
    }
}
