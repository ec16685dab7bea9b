package org.geraniumstand.entry.operator;

import java.util.List;
import org.geraniumstand.model.config.ConfigurationFinding;

/**
 * Why a change of the configuration was not accepted.
 *
 * @param kind the kind of error
 * @param title what is wrong, in one sentence
 * @param findings what is wrong with the document, entry by entry
 */
public record ChangeError(Kind kind, String title, List<ConfigurationFinding> findings) {
    /** Copies the list. */
    public ChangeError {
        findings = List.copyOf(findings);
    }

    /** Kinds of errors. */
    public enum Kind {
        /** The change names something that does not exist. */
        NOT_FOUND("not-found", 404),
        /** The document was made from a generation that is not in force any more. */
        CONFLICT("conflict", 409),
        /** The proposed document breaks a rule. */
        INVALID("invalid", 422),
        /** The store does not answer; nothing was changed. */
        STORE_UNAVAILABLE("store-unavailable", 503),
        /** The store's answer was lost; the change may be accepted. */
        UNSETTLED("unsettled", 504);

        private final String text;
        private final int status;

        Kind(String text, int status) {
            this.text = text;
            this.status = status;
        }

        /** Returns the word used in answers. */
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
     * @param kind the kind of error
     * @param title what is wrong, in one sentence
     */
    public static ChangeError of(Kind kind, String title) {
        return new ChangeError(kind, title, List.of());
    }
}
