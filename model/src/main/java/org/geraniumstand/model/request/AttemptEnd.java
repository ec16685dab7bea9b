package org.geraniumstand.model.request;

/** Result of an attempt at a backend server. */
public enum AttemptEnd {
    /** The complete response was received. */
    ANSWERED,
    /** The backend server responded with an error of its own, status 500 or above. */
    SERVER_ERROR,
    /** The backend server guarantees that it did not execute the request. */
    DECLINED,
    /** No connection was established, so no byte was sent. */
    NOT_CONNECTED,
    /** The connection failed after bytes were sent. */
    BROKEN,
    /** No byte was received within the response timeout. */
    SILENT,
    /** The process cancelled the attempt itself. */
    CANCELLED
}
