package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Timestamp;

/** Decides whether a lost server may have restarted without its new entry being known. Not thread-safe. */
@Decision(
        name = "store-silence",
        summary = "A lost server may have restarted unnoticed while the view of the store is "
                + "stale, and until its entry has been written and read after that.")
public final class StoreStaleness {
    /**
     * Milliseconds without an update after which the view of the store counts as stale; updates arrive several times a
     * second.
     */
    private static final long STALE_MILLIS = 1_500;

    /**
     * Milliseconds after a stale phase within which entries are written and read: a heartbeat of 1,200 ms plus the
     * transit time.
     */
    private static final long ENTRY_REFRESH_MILLIS = 1_600;

    /** Maximum milliseconds between a server's crash and its restart. */
    private static final long MAX_RESTART_MILLIS = 10_000;

    private boolean everUpToDate;
    private long upToDateNanos;
    private boolean wasStale;
    private long staleFromNanos;
    private long staleUntilNanos;

    /** Creates an instance that has received no update and does not count as stale. */
    public StoreStaleness() {}

    /**
     * Records that all changes in the store up to now are known.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onUpToDate(long nowNanos) {
        if (isStale(nowNanos)) {
            wasStale = true;
            staleFromNanos = upToDateNanos;
            staleUntilNanos = nowNanos;
        }
        everUpToDate = true;
        upToDateNanos = nowNanos;
    }

    /**
     * Returns whether the view of the store is stale.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public boolean isStale(long nowNanos) {
        return everUpToDate && nowNanos - upToDateNanos >= STALE_MILLIS * Timestamp.NANOS_PER_MILLI;
    }

    /**
     * Returns whether a lost server may have restarted unnoticed.
     *
     * @param lostNanos when contact with the server was lost, on the monotonic clock in nanoseconds
     * @param nowNanos the monotonic time in nanoseconds
     */
    public boolean mayHaveRestarted(long lostNanos, long nowNanos) {
        if (isStale(nowNanos)) {
            return lostNanos - upToDateNanos > -MAX_RESTART_MILLIS * Timestamp.NANOS_PER_MILLI;
        }
        return wasStale
                && lostNanos - staleFromNanos > -MAX_RESTART_MILLIS * Timestamp.NANOS_PER_MILLI
                && nowNanos - staleUntilNanos < ENTRY_REFRESH_MILLIS * Timestamp.NANOS_PER_MILLI;
    }
}
