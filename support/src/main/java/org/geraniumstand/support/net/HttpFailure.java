package org.geraniumstand.support.net;

/** Why a call brought no answer. */
public enum HttpFailure {
    /** No connection was made, so no byte was sent. */
    NOT_CONNECTED,
    /** The connection broke after bytes may have been sent. */
    BROKEN,
    /** The answer was not whole in time. */
    TIMED_OUT
}
