package org.geraniumstand.model.relay;

/** States whether a relayed call may be executed more than once. */
public enum CallKind {
    /** The call may be executed more than once. */
    SAFE,
    /** The call is executed at most once per attempt of its caller. */
    UNSAFE,
    /** The response is an event stream; the call is executed at most once unless the route allows streams to resume. */
    STREAM
}
