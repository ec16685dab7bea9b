package org.geraniumstand.standins;

/** Settings and faults of the cloud. */
public enum CloudSwitch {
    /** The connection of each call is closed without an answer. */
    DOWN,
    /** Milliseconds that each call takes longer. */
    SLOW_MILLIS,
    /** Milliseconds that the host list lags. */
    LAG_MILLIS,
    /** Counts starts that are refused. */
    REFUSE_STARTS,
    /** Class of hosts of which each start is refused. */
    REFUSE_CLASS,
    /** Milliseconds from a start until the host runs. */
    STARTING_MILLIS,
    /** Whether orders with an old fencing number are refused. */
    FENCING
}
