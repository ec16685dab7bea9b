package org.geraniumstand.http.upstream;

/** Pauses and resumes reading from a backend server. */
public interface FlowControl {
    /** Pauses reading; the response timeout does not run while paused. */
    void pause();

    /** Resumes reading. */
    void resume();
}
