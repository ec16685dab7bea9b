package org.geraniumstand.standins;

/** Names the faults of the order desk stand-in. */
public enum OrderDeskSwitch {
    /** Delay of each call, in milliseconds. */
    SLOW_MILLIS,
    /** Number of calls to refuse before execution, with the header that states that they did not run. */
    DECLINE,
    /** Number of calls whose connection is closed before execution. */
    CUT_BEFORE,
    /** Number of calls that are executed, but whose connection is closed instead of a response. */
    CUT_AFTER,
    /** Number of calls that are not executed and receive no response. */
    SILENT_BEFORE,
    /** Number of calls that are executed, but receive no response. */
    SILENT_AFTER,
    /** Number of calls that are executed, but fail with status 500. */
    ERROR_AFTER,
    /** Number of calls that are executed, but receive the response to the previous call. */
    CROSS
}
