package org.geraniumstand.standins;

/** Faults of the store. */
public enum StoreSwitch {
    /** Each connection is closed without an answer. */
    DOWN,
    /** Requests are taken and never answered. */
    SILENT,
    /** Milliseconds that each call takes longer. */
    SLOW_MILLIS,
    /** Counts calls that are answered with status 500 and have no effect. */
    ERROR,
    /** Counts writes that take effect while their connection is closed in place of an answer. */
    LOSE_ANSWERS,
    /** Counts renewals that find their lease lapsed. */
    LAPSE_LEASES,
    /** Watches show what was stored when this was switched on. */
    STALE_WATCH
}
