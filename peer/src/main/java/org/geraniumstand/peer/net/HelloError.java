package org.geraniumstand.peer.net;

/** Why a connection was not accepted as one of a peer. */
enum HelloError {
    /** The bytes are no hello. */
    MALFORMED("not-a-peer"),
    /** The other side has another shared key in its settings. */
    KEY_DIFFERS("shared-key-differs"),
    /** The connection leads to this process itself. */
    SELF("connected-to-itself"),
    /** The other side did not finish its hello in time. */
    TIMED_OUT("hello-timed-out"),
    /** The other side closed the connection before its hello was complete. */
    CLOSED("closed-during-hello");

    private final String text;

    HelloError(String text) {
        this.text = text;
    }

    /** Returns the word used in the log. */
    String text() {
        return text;
    }
}
