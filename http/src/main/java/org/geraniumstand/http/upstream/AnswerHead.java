package org.geraniumstand.http.upstream;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.Optional;
import org.geraniumstand.http.AnswerFraming;

/**
 * Holds the status and headers of a backend server's answer.
 *
 * @param status the HTTP status code
 * @param headers the headers of the answer, which must not be modified
 */
public record AnswerHead(int status, HeaderMap headers) {
    /** Header in which a backend server reports whether it ran a request. */
    public static final HttpString OUTCOME = new HttpString("X-Outcome");

    private static final int SUCCESS_CLASS = 2;
    private static final int STATUS_CLASS_DIVISOR = 100;
    private static final int SERVER_ERROR = 500;
    private static final String NOT_RUN = "not-run";

    /** Returns the content type of the body, if the server sent one. */
    public Optional<String> contentType() {
        return Optional.ofNullable(headers.getFirst(Headers.CONTENT_TYPE));
    }

    /** Returns the content length as the backend server sent it, if present. */
    public Optional<String> contentLength() {
        return Optional.ofNullable(headers.getFirst(Headers.CONTENT_LENGTH));
    }

    /** Returns how the end of the body is recognized, if there is a body. */
    public AnswerFraming framing() {
        return AnswerFraming.of(headers);
    }

    /** Returns whether the backend server declares that it did not run the request. */
    public boolean declaresNotRun() {
        return NOT_RUN.equals(headers.getFirst(OUTCOME));
    }

    /** Returns whether the status is a success, from 200 to 299. */
    public boolean success() {
        return status / STATUS_CLASS_DIVISOR == SUCCESS_CLASS;
    }

    /** Returns whether the status is a server error, 500 or above. */
    public boolean serverError() {
        return status >= SERVER_ERROR;
    }
}
