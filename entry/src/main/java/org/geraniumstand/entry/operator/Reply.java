package org.geraniumstand.entry.operator;

import java.util.List;
import org.geraniumstand.model.operation.Problem;
import org.geraniumstand.support.json.Json;

/**
 * An answer to operators.
 *
 * @param status the HTTP status code
 * @param contentType type of the text
 * @param text the body
 */
public record Reply(int status, String contentType, String text) {
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final String JSON = "application/json";
    private static final String PROBLEM_JSON = "application/problem+json";

    /**
     * Returns an answer with a document.
     *
     * @param document a record of the model
     */
    public static Reply json(Object document) {
        return new Reply(OK, JSON, Json.write(document));
    }

    /**
     * Returns the answer to a change that is accepted but not yet known to be in force everywhere.
     *
     * @param document a record of the model
     */
    public static Reply accepted(Object document) {
        return new Reply(ACCEPTED, JSON, Json.write(document));
    }

    /**
     * Returns an answer with a text.
     *
     * @param contentType type of the text
     * @param text the text
     */
    public static Reply text(String contentType, String text) {
        return new Reply(OK, contentType, text);
    }

    /**
     * Returns an error answer.
     *
     * @param status the HTTP status code
     * @param reason a word for programs, in kebab case
     * @param title what is wrong, in one sentence
     */
    public static Reply problem(int status, String reason, String title) {
        Problem problem = new Problem("about:blank", title, status, reason, List.of());
        return new Reply(status, PROBLEM_JSON, Json.write(problem));
    }

    /**
     * Returns the answer to a change that was not accepted.
     *
     * @param error why
     */
    public static Reply of(ChangeError error) {
        int status = error.kind().status();
        Problem problem =
                new Problem("about:blank", error.title(), status, error.kind().text(), error.findings());
        return new Reply(status, PROBLEM_JSON, Json.write(problem));
    }
}
