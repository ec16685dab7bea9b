package org.geraniumstand.model.request;

/** States whether a failed request was executed, as reported to the caller. */
public enum Outcome {
    /**
     * No byte of the request can have reached a backend server, or the server guarantees that it did not execute it.
     */
    NOT_RUN("not-run"),
    /** The request was executed, but its response cannot be returned. */
    RAN("ran"),
    /** The request may have been executed. */
    UNKNOWN("unknown");

    private final String text;

    Outcome(String text) {
        this.text = text;
    }

    /** Returns the value used in responses to callers. */
    public String text() {
        return text;
    }
}
