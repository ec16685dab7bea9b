package org.geraniumstand.standins;

/** Names the faults of the key-value store stand-in. */
public enum StoreSwitch {
    /** Whether each connection is closed without a response. */
    DOWN,
    /** Whether requests are accepted, but receive no response. */
    SILENT,
    /** Delay of each call, in milliseconds. */
    SLOW_MILLIS,
    /** Number of calls that fail with status 500 and have no effect. */
    ERROR,
    /** Number of writes that take effect, but whose connection is closed instead of a response. */
    LOSE_ANSWERS,
    /** Number of renewals that find their lease expired. */
    LAPSE_LEASES,
    /** Whether watches return the content as it was when this was switched on. */
    STALE_WATCH
}
