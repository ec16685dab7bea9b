package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Moment;

/** Decides whether an entry that vanished may have lapsed in an outage of the store; belongs to one thread. */
@Decision(
        name = "store-outage",
        summary =
                "An entry that vanishes may belong to a server that lives only from an outage in which this process's own"
                        + " calls failed and no peer reached the store, until live servers have written theirs again.")
public final class StoreOutage {
    /**
     * Shortest outage that ongoing, in milliseconds: entries lapse after three heartbeats of about 1,200 are missing, so a
     * shorter one loses none.
     */
    private static final long MIN_OUTAGE_MILLIS = 1_500;

    /** Milliseconds after the store's return within which live servers have written their entries again (platform). */
    private static final long REREGISTRATION_MILLIS = 2_000;

    /** Milliseconds in which a request reaches a server that was chosen for it. */
    private static final long DISPATCH_MILLIS = 200;

    private final long holdNanos;
    private final long contactNanos;
    private long lastFailedCallNanos;
    private boolean ongoing;
    private long reachedNanos;
    private long heldUntilNanos;

    /**
     * Creates a store that was not out.
     *
     * @param bounds the times to keep
     * @param nowNanos the monotonic time in nanoseconds
     */
    public StoreOutage(StoreBounds bounds, long nowNanos) {
        this.holdNanos = Math.min(REREGISTRATION_MILLIS, bounds.drainMillis() - DISPATCH_MILLIS) * Moment.NANOS_PER_MILLI;
        this.contactNanos = bounds.contactMillis() * Moment.NANOS_PER_MILLI;
        this.reachedNanos = nowNanos;
        this.heldUntilNanos = nowNanos;
    }

    /**
     * Takes in that an own call failed, or that its answer is overdue.
     *
     * @param callNanos when the call was made, on the monotonic clock in nanoseconds
     * @param nowNanos the monotonic time in nanoseconds
     * @return whether the outage ongoing from now on
     */
    public boolean onFailed(long callNanos, long nowNanos) {
        lastFailedCallNanos = callNanos;
        boolean wasOngoing = ongoing;
        ongoing = nowNanos - reachedNanos >= MIN_OUTAGE_MILLIS * Moment.NANOS_PER_MILLI;
        return ongoing && !wasOngoing;
    }

    /**
     * Takes in that the store answered this process, or a peer that tells of it.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onReached(long nowNanos) {
        if (ongoing) {
            // The store may have been back since just after the last call was made that failed.
            heldUntilNanos = Math.min(nowNanos + holdNanos, lastFailedCallNanos + contactNanos);
        }
        ongoing = false;
        reachedNanos = nowNanos;
    }

    /**
     * Returns for how long an entry that vanishes now may be missing only, in milliseconds; zero if its server is gone.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public long holdMillis(long nowNanos) {
        if (ongoing) {
            return holdNanos / Moment.NANOS_PER_MILLI;
        }
        // A part of a millisecond that is left ongoing as a whole one.
        return Math.max(0, (heldUntilNanos - nowNanos + Moment.NANOS_PER_MILLI - 1) / Moment.NANOS_PER_MILLI);
    }
}
