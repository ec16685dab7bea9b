package org.geraniumstand.model.config;

/**
 * Describes an error or warning found by a configuration check.
 *
 * @param severity whether the finding causes the document to be rejected
 * @param path path of the entry in the document, such as {@code routes[2].service}
 * @param message description of the problem and of the allowed values
 */
public record ConfigurationFinding(Severity severity, String path, String message) {
    /** States whether a finding causes the document to be rejected. */
    public enum Severity {
        /** The document is rejected. */
        ERROR,
        /** The document is accepted; operators should review the entry. */
        WARNING
    }

    /**
     * Returns a finding that causes the document to be rejected.
     *
     * @param path path of the entry
     * @param message description of the problem and of the allowed values
     */
    public static ConfigurationFinding error(String path, String message) {
        return new ConfigurationFinding(Severity.ERROR, path, message);
    }

    /**
     * Returns a finding that operators should review.
     *
     * @param path path of the entry
     * @param message description of the unusual value
     */
    public static ConfigurationFinding warning(String path, String message) {
        return new ConfigurationFinding(Severity.WARNING, path, message);
    }
}
