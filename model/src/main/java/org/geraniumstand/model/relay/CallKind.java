package org.geraniumstand.model.relay;

/** What may be repeated of a call. */
public enum CallKind {
    /** The call may run more than once. */
    SAFE,
    /** The call runs at most once for each attempt of its caller. */
    UNSAFE,
    /** The answer is a stream of events; it runs at most once unless the route allows it to be resumed. */
    STREAM
}
