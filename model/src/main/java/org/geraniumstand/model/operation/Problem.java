package org.geraniumstand.model.operation;

import java.util.List;
import org.geraniumstand.model.config.ConfigurationFinding;

/**
 * An error answer to operators, sent as {@code application/problem+json}.
 *
 * <p>Source: RFC 9457, "Problem Details for HTTP APIs".
 *
 * @param type always {@code about:blank}
 * @param title what is wrong, in one sentence
 * @param status the HTTP status code
 * @param reason a word for programs, in kebab case
 * @param findings what is wrong with the configuration, entry by entry
 */
public record Problem(String type, String title, int status, String reason, List<ConfigurationFinding> findings) {
    /** Copies the list. */
    public Problem {
        findings = findings == null ? List.of() : List.copyOf(findings);
    }
}
