package org.geraniumstand.model.request;

/** How an attempt at a backend server ended. */
public enum AttemptEnd {
    /** The whole answer arrived. */
    ANSWERED,
    /** The backend server answered with an error of its own, status 500 or above. */
    SERVER_ERROR,
    /** The backend server vouches that it did not run the request. */
    DECLINED,
    /** No connection was made, so no byte was sent. */
    NOT_CONNECTED,
    /** The connection broke after bytes were sent. */
    BROKEN,
    /** The connection fell silent. */
    SILENT,
    /** The process ended the attempt itself. */
    CANCELLED
}
