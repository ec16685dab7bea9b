package org.geraniumstand.standins;

/** Names the faults of the key-value store stand-in. */
public enum StoreSwitch {
    /** Closes each connection without a response. */
    DOWN,
    /** Accepts requests, but never responds. */
    SILENT,
    /** Delay of each call, in milliseconds. */
    SLOW_MILLIS,
    /** Number of calls that fail with status 500 and have no effect. */
    ERROR,
    /** Number of writes that take effect, but whose connection is closed instead of a response. */
    LOSE_ANSWERS,
    /** Number of renewals that find their lease expired. */
    LAPSE_LEASES,
    /** Makes watches return the content at the time when this was switched on. */
    STALE_WATCH
}
