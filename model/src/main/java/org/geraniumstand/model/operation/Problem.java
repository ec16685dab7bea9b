package org.geraniumstand.model.operation;

import java.util.List;
import org.geraniumstand.model.config.ConfigurationFinding;

/**
 * Describes an error in a response to operators, sent as {@code application/problem+json}.
 *
 * <p>Source: RFC 9457, "Problem Details for HTTP APIs".
 *
 * @param type always {@code about:blank}
 * @param title description of the problem in one sentence
 * @param status the HTTP status code
 * @param reason machine-readable error code, in kebab case
 * @param findings errors and warnings of the configuration check; a missing list becomes an empty one
 */
public record Problem(String type, String title, int status, String reason, List<ConfigurationFinding> findings) {
    /** Makes a defensive copy of the list. */
    public Problem {
        findings = findings == null ? List.of() : List.copyOf(findings);
    }
}
