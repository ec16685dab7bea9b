package org.geraniumstand.standins;

/** Faults of a plain service. */
public enum OrderDeskSwitch {
    /** Milliseconds that each call takes longer. */
    SLOW_MILLIS,
    /** Counts calls that are refused before they run, with the header that vouches for it. */
    DECLINE,
    /** Counts calls whose connection is closed before they run. */
    CUT_BEFORE,
    /** Counts calls that run while their connection is closed in place of an answer. */
    CUT_AFTER,
    /** Counts calls that never run and are never answered. */
    SILENT_BEFORE,
    /** Counts calls that run and are never answered. */
    SILENT_AFTER,
    /** Counts calls that run and are answered with status 500. */
    ERROR_AFTER,
    /** Counts calls that run and get the answer to the call before. */
    CROSS
}
