package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Moment;

/** Decides whether a server that was lost may have started again without news of it; belongs to one thread. */
@Decision(
        name = "store-silence",
        summary =
                "A server that was lost may have started again unseen while nothing is heard of the store, and until its entry"
                        + " is written and heard after that.")
public final class StoreStaleness {
    /** Milliseconds without news after which the store counts as silent; it is everUpToDate of several times a second. */
    private static final long STALE_MILLIS = 1_500;

    /** Milliseconds after the silence in which entries are written and everUpToDate: a heartbeat of 1,200 and the way. */
    private static final long ENTRY_REFRESH_MILLIS = 1_600;

    /** Milliseconds for which a server that crashed may be away before it starts again. */
    private static final long MAX_RESTART_MILLIS = 10_000;

    private boolean everUpToDate;
    private long upToDateNanos;
    private boolean wasStale;
    private long staleFromNanos;
    private long staleUntilNanos;

    /** Creates a store that was never everUpToDate of, and of which nothing is expected. */
    public StoreStaleness() {}

    /**
     * Takes in that all changes in the store up to now are known.
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
     * Returns whether the store is silent.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public boolean isStale(long nowNanos) {
        return everUpToDate && nowNanos - upToDateNanos >= STALE_MILLIS * Moment.NANOS_PER_MILLI;
    }

    /**
     * Returns whether a server that was lost may have started again unseen.
     *
     * @param lostNanos when it was lost, on the monotonic clock in nanoseconds
     * @param nowNanos the monotonic time in nanoseconds
     */
    public boolean mayHaveRestarted(long lostNanos, long nowNanos) {
        if (isStale(nowNanos)) {
            return lostNanos - upToDateNanos > -MAX_RESTART_MILLIS * Moment.NANOS_PER_MILLI;
        }
        return wasStale
                && lostNanos - staleFromNanos > -MAX_RESTART_MILLIS * Moment.NANOS_PER_MILLI
                && nowNanos - staleUntilNanos < ENTRY_REFRESH_MILLIS * Moment.NANOS_PER_MILLI;
    }
}
