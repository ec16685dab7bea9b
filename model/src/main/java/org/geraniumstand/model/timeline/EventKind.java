package org.geraniumstand.model.timeline;

/** Kinds of events on the time line. */
public enum EventKind {
    /** A process started. */
    PROCESS_STARTED,
    /** A process began to stop. */
    PROCESS_STOPPING,
    /** A process ended its work and stops. */
    PROCESS_STOPPED,
    /** A process saw a change of the members. */
    MEMBERS_CHANGED,
    /** A configuration came into force in a process. */
    CONFIGURATION_IN_FORCE,
    /** Operators' change of the configuration was accepted or refused. */
    CONFIGURATION_CHANGED,
    /** The platform's store became reachable or unreachable. */
    STORE_STATE,
    /** The cloud announced a reclaim. */
    RECLAIM_NOTICED,
    /** A backend server takes no new work, or takes it again. */
    SERVER_STATE,
    /** A backend server's budget changed its warmth. */
    SERVER_WARMTH,
    /** A stream moved to another backend server. */
    STREAM_MOVED,
    /** A stream was handed to another process. */
    STREAM_HANDED_OVER,
    /** A request passed the filters at the edge. */
    REQUEST_ARRIVED,
    /** An attempt was sent to a backend server. */
    REQUEST_DISPATCHED,
    /** An attempt at a backend server ended. */
    ATTEMPT_ENDED,
    /** A request was refused or given up on. */
    REQUEST_REFUSED,
    /** A request was answered. */
    REQUEST_ANSWERED,
    /** An attempt was repeated. */
    REQUEST_RETRIED,
    /** A move's share changed. */
    MOVE_SHARE,
    /** A version was marked as bad. */
    VERSION_BAD,
    /** A move was done or withdrawn. */
    MOVE_ENDED,
    /** A data centre was taken out or brought back. */
    DATA_CENTRE_STATE,
    /** An order was sent to an engine or the cloud. */
    ORDER_SENT
}
