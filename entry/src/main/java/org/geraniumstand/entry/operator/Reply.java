package org.geraniumstand.entry.operator;

import java.util.List;
import org.geraniumstand.model.operation.Problem;
import org.geraniumstand.support.json.Json;

/**
 * A response to an operator's request.
 *
 * @param status HTTP status code
 * @param contentType value of the {@code Content-Type} header
 * @param text response body
 */
public record Reply(int status, String contentType, String text) {
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final String JSON = "application/json";
    private static final String PROBLEM_JSON = "application/problem+json";

    /**
     * Returns a response with a JSON document.
     *
     * @param document record to write as JSON
     */
    public static Reply json(Object document) {
        return new Reply(OK, JSON, Json.write(document));
    }

    /**
     * Returns the response to a change that is accepted but may not be in force at all processes yet.
     *
     * @param document record to write as JSON
     */
    public static Reply accepted(Object document) {
        return new Reply(ACCEPTED, JSON, Json.write(document));
    }

    /**
     * Returns a response with a text body.
     *
     * @param contentType value of the {@code Content-Type} header
     * @param text response body
     */
    public static Reply text(String contentType, String text) {
        return new Reply(OK, contentType, text);
    }

    /**
     * Returns an error response.
     *
     * @param status HTTP status code
     * @param reason machine-readable error code, in kebab case
     * @param title description of the error, in one sentence
     */
    public static Reply problem(int status, String reason, String title) {
        Problem problem = new Problem("about:blank", title, status, reason, List.of());
        return new Reply(status, PROBLEM_JSON, Json.write(problem));
    }

    /**
     * Returns the response to a rejected change.
     *
     * @param error reason for the rejection
     */
    public static Reply of(ChangeError error) {
        int status = error.kind().status();
        Problem problem =
                new Problem("about:blank", error.title(), status, error.kind().text(), error.findings());
        return new Reply(status, PROBLEM_JSON, Json.write(problem));
    }
}
