package org.geraniumstand.model.request;

/** What a caller is told about the effect of a request that failed. */
public enum Outcome {
    /** No byte of the request can have reached a backend server, or the server vouches that it did not run. */
    NOT_RUN("not-run"),
    /** The request ran, but its answer cannot be given. */
    RAN("ran"),
    /** The request may have run. */
    UNKNOWN("unknown");

    private final String text;

    Outcome(String text) {
        this.text = text;
    }

    /** Returns the word used in answers to callers. */
    public String text() {
        return text;
    }
}
