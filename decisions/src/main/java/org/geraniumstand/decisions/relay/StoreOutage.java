package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Timestamp;

/** Decides whether a deleted entry may have expired because of a store outage. Not thread-safe. */
@Decision(
        name = "store-outage",
        summary = "An entry deleted in or shortly after a store outage, in which neither "
                + "this process nor any peer reached the store, or after the store was restored "
                + "from a backup, may belong to a live server until live servers have had time "
                + "to register again.")
public final class StoreOutage {
    /**
     * Minimum duration of an outage in milliseconds: an entry expires after three missing heartbeats of about 1,200 ms,
     * so a shorter outage expires none.
     */
    private static final long MIN_OUTAGE_MILLIS = 1_500;

    /**
     * Milliseconds after the store's recovery within which live servers have registered again, as the platform
     * specifies.
     */
    private static final long REREGISTRATION_MILLIS = 2_000;

    /** Milliseconds within which a request reaches the server that was selected for it. */
    private static final long DISPATCH_MILLIS = 200;

    private final long gracePeriodNanos;
    private final long contactNanos;
    private long lastFailedCallNanos;
    private boolean failing;
    private boolean ongoing;
    private long reachedNanos;
    private long graceUntilNanos;

    /**
     * Creates an instance that has seen no outage.
     *
     * @param bounds time limits from the settings
     * @param nowNanos the monotonic time in nanoseconds
     */
    public StoreOutage(StoreBounds bounds, long nowNanos) {
        this.gracePeriodNanos =
                Math.min(REREGISTRATION_MILLIS, bounds.drainMillis() - DISPATCH_MILLIS) * Timestamp.NANOS_PER_MILLI;
        this.contactNanos = bounds.contactMillis() * Timestamp.NANOS_PER_MILLI;
        this.reachedNanos = nowNanos;
        this.graceUntilNanos = nowNanos;
    }

    /**
     * Records that a call of this process to the store failed or timed out.
     *
     * @param callNanos when the call was made, on the monotonic clock in nanoseconds
     * @param nowNanos the monotonic time in nanoseconds
     * @return whether this failure is the first that counts as an outage
     */
    public boolean onFailed(long callNanos, long nowNanos) {
        lastFailedCallNanos = callNanos;
        failing = true;
        boolean wasOngoing = ongoing;
        ongoing = nowNanos - reachedNanos >= MIN_OUTAGE_MILLIS * Timestamp.NANOS_PER_MILLI;
        return ongoing && !wasOngoing;
    }

    /**
     * Records that the store answered this process or a peer that reports it.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onReached(long nowNanos) {
        if (ongoing) {
            // The store may have recovered just after the last failed call was made.
            graceUntilNanos = Math.min(nowNanos + gracePeriodNanos, lastFailedCallNanos + contactNanos);
        }
        failing = false;
        ongoing = false;
        reachedNanos = nowNanos;
    }

    /**
     * Records that the store was restored from a backup, which lacks the entries of servers that started since.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onRestored(long nowNanos) {
        graceUntilNanos = nowNanos + gracePeriodNanos;
        if (failing) {
            // The store may have been restored just after the last failed call was made.
            graceUntilNanos = Math.min(graceUntilNanos, lastFailedCallNanos + contactNanos);
        }
        ongoing = false;
    }

    /**
     * Returns how long to keep a server whose entry is deleted now, in milliseconds; zero if the server must be removed
     * immediately.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public long gracePeriodMillis(long nowNanos) {
        if (ongoing) {
            return gracePeriodNanos / Timestamp.NANOS_PER_MILLI;
        }
        // Rounds up a remaining fraction of a millisecond.
        return Math.max(0, (graceUntilNanos - nowNanos + Timestamp.NANOS_PER_MILLI - 1) / Timestamp.NANOS_PER_MILLI);
    }
}
