package org.geraniumstand.entry.operator;

import java.util.List;
import org.geraniumstand.model.config.ConfigurationFinding;

/**
 * Describes why a configuration change was rejected.
 *
 * @param kind kind of error
 * @param title description of the error, in one sentence
 * @param findings errors in the document, by entry
 */
public record ChangeError(Kind kind, String title, List<ConfigurationFinding> findings) {
    /** Makes a defensive copy of the list. */
    public ChangeError {
        findings = List.copyOf(findings);
    }

    /** Kinds of errors. */
    public enum Kind {
        /** The change names something that does not exist. */
        NOT_FOUND("not-found", 404),
        /** The document is based on a generation that is no longer in force. */
        CONFLICT("conflict", 409),
        /** The proposed document breaks a rule. */
        INVALID("invalid", 422),
        /** The store does not answer; the configuration is unchanged. */
        STORE_UNAVAILABLE("store-unavailable", 503),
        /** The store's response was lost; the change may have been applied. */
        UNSETTLED("unsettled", 504);

        private final String text;
        private final int status;

        Kind(String text, int status) {
            this.text = text;
            this.status = status;
        }

        /** Returns the error code that responses contain. */
        public String text() {
            return text;
        }

        /** Returns the HTTP status code. */
        public int status() {
            return status;
        }
    }

    /**
     * Returns an error without findings.
     *
     * @param kind kind of error
     * @param title description of the error, in one sentence
     */
    public static ChangeError of(Kind kind, String title) {
        return new ChangeError(kind, title, List.of());
    }
}
