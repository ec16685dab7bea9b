package org.geraniumstand.support.net;

/** States why a request received no complete response. */
public enum HttpFailure {
    /** No connection was established, so no byte was sent. */
    NOT_CONNECTED,
    /** The connection failed after bytes may have been sent. */
    BROKEN,
    /** The complete response did not arrive within the timeout. */
    TIMED_OUT
}
