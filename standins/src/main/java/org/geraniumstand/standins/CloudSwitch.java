package org.geraniumstand.standins;

/** Names the settings and faults of the cloud stand-in. */
public enum CloudSwitch {
    /** Whether the connection of each call is closed without a response. */
    DOWN,
    /** Delay of each call, in milliseconds. */
    SLOW_MILLIS,
    /** Delay after which changes appear in the host list, in milliseconds. */
    LAG_MILLIS,
    /** Number of host starts to refuse. */
    REFUSE_STARTS,
    /** Host class of which every start is refused. */
    REFUSE_CLASS,
    /** Time from the order of a host until it runs, in milliseconds. */
    STARTING_MILLIS,
    /** Whether orders with a stale fencing token are refused. */
    FENCING
}
