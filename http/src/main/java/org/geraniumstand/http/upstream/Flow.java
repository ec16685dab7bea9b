package org.geraniumstand.http.upstream;

/** Holds back and lets go what a backend server sends. */
public interface Flow {
    /** Stops reading; silence is not counted meanwhile. */
    void pause();

    /** Goes on reading. */
    void resume();
}
