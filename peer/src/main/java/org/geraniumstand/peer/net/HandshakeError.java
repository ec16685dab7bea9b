package org.geraniumstand.peer.net;

/** Lists the reasons for which a handshake is rejected. */
enum HandshakeError {
    /** The other side sent bytes that are not a valid frame of the protocol. */
    MALFORMED("not-a-peer"),
    /** The other side is configured with a different shared key. */
    KEY_DIFFERS("shared-key-differs"),
    /** The connection leads to this process itself. */
    SELF("connected-to-itself"),
    /** The other side did not complete the handshake within the timeout. */
    TIMED_OUT("hello-timed-out"),
    /** The other side closed the connection before the handshake completed. */
    CLOSED("closed-during-hello");

    private final String reason;

    HandshakeError(String reason) {
        this.reason = reason;
    }

    /** Returns the reason as it appears in the log. */
    String reason() {
        return reason;
    }
}
