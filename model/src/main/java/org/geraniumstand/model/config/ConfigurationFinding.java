package org.geraniumstand.model.config;

/**
 * Something that a check of a configuration found.
 *
 * @param severity whether it keeps the document from being accepted
 * @param path path of the entry in the document, such as {@code routes[2].service}
 * @param message what is wrong and which values are allowed
 */
public record ConfigurationFinding(Severity severity, String path, String message) {
    /** Tells whether a finding keeps a document from being accepted. */
    public enum Severity {
        /** The document is refused. */
        ERROR,
        /** The document is accepted; operators should look at the entry. */
        WARNING
    }

    /**
     * Returns a finding that keeps the document from being accepted.
     *
     * @param path path of the entry
     * @param message what is wrong and which values are allowed
     */
    public static ConfigurationFinding error(String path, String message) {
        return new ConfigurationFinding(Severity.ERROR, path, message);
    }

    /**
     * Returns a finding that operators should look at.
     *
     * @param path path of the entry
     * @param message what is unusual
     */
    public static ConfigurationFinding warning(String path, String message) {
        return new ConfigurationFinding(Severity.WARNING, path, message);
    }
}
