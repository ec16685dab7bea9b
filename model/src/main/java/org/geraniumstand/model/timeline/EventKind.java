package org.geraniumstand.model.timeline;

/** Kinds of timeline events. */
public enum EventKind {
    /** A process started. */
    PROCESS_STARTED,
    /** A process began to shut down. */
    PROCESS_STOPPING,
    /** A process completed its shutdown. */
    PROCESS_STOPPED,
    /** A process detected a membership change. */
    MEMBERS_CHANGED,
    /** A process applied a configuration. */
    CONFIGURATION_IN_FORCE,
    /** An operator's configuration change was accepted or rejected. */
    CONFIGURATION_CHANGED,
    /** The platform's configuration store became reachable or unreachable. */
    STORE_STATE,
    /** The cloud provider announced that it will reclaim a host. */
    RECLAIM_NOTICED,
    /** A backend server stopped or resumed accepting new requests. */
    SERVER_STATE,
    /** A backend server became warm or cold. */
    SERVER_WARMTH,
    /** A stream was migrated to another backend server. */
    STREAM_MOVED,
    /** A stream was handed over to another process. */
    STREAM_HANDED_OVER,
    /** A request passed the request filters. */
    REQUEST_ARRIVED,
    /** A request was sent to a backend server. */
    REQUEST_DISPATCHED,
    /** An attempt at a backend server ended. */
    ATTEMPT_ENDED,
    /** A request was refused or aborted. */
    REQUEST_REFUSED,
    /** A request was answered. */
    REQUEST_ANSWERED,
    /** A request was retried. */
    REQUEST_RETRIED,
    /** The traffic share of a version move changed. */
    MOVE_SHARE,
    /** A version was found to be bad. */
    VERSION_BAD,
    /** A version move was completed or withdrawn. */
    MOVE_ENDED,
    /** The evacuation of a data centre began or was lifted. */
    DATA_CENTRE_STATE,
    /** An order was sent to a model engine or the cloud provider. */
    ORDER_SENT
}
