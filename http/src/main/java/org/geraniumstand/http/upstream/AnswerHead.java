package org.geraniumstand.http.upstream;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.Optional;

/**
 * The head of an answer.
 *
 * @param status the HTTP status code
 * @param headers its headers; not to be changed
 */
public record AnswerHead(int status, HeaderMap headers) {
    /** The header by which a backend server says whether it ran a request. */
    public static final HttpString OUTCOME = new HttpString("X-Outcome");

    private static final int SERVER_ERROR = 500;
    private static final String NOT_RUN = "not-run";

    /** Returns the type of the body, if any. */
    public Optional<String> contentType() {
        return Optional.ofNullable(headers.getFirst(Headers.CONTENT_TYPE));
    }

    /** Returns the content length as the backend server wrote it, if it did. */
    public Optional<String> contentLength() {
        return Optional.ofNullable(headers.getFirst(Headers.CONTENT_LENGTH));
    }

    /** Returns whether the backend server says that it did not run the request. */
    public boolean vouchesNotRun() {
        return NOT_RUN.equals(headers.getFirst(OUTCOME));
    }

    /** Returns whether the backend server reports an error of its own. */
    public boolean serverError() {
        return status >= SERVER_ERROR;
    }
}
