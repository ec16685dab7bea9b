package org.geraniumstand.support.net;

import java.util.Optional;
import java.util.function.Function;

/**
 * The whole answer to a call.
 *
 * @param status the HTTP status code
 * @param body the body
 * @param header looks a header up by its name
 */
public record HttpAnswer(int status, HttpBody body, Function<String, Optional<String>> header) {
    /** Returns the body as text in UTF-8. */
    public String text() {
        return body.text();
    }
}
