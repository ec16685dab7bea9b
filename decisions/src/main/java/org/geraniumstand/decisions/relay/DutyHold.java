package org.geraniumstand.decisions.relay;

import java.util.Optional;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Moment;

/** Knows whether this process may act for all. */
@Decision(
        name = "duty-hold",
        summary = "A process acts for all only while the lease that it renewed last surely still holds, and under the"
                + " revision at which it took the duty.")
public final class DutyHold {
    /** Part of the lease's time after which it no longer counts as surely held; the rest covers a slow call. */
    private static final double SAFE_SHARE = 0.8;

    private final long ttlMillis;
    private long lease;
    private long fencingToken;
    private long safeUntilNanos;
    private boolean held;

    /**
     * Creates a hold of nothing.
     *
     * @param ttlMillis time that the lease holds after each renewal, in milliseconds
     */
    public DutyHold(long ttlMillis) {
        this.ttlMillis = ttlMillis;
    }

    /**
     * Takes in that the duty was acquired.
     *
     * @param acquired the lease that holds it
     * @param revision the revision at which it was acquired
     * @param requestedNanos when the lease was opened, on the monotonic clock in nanoseconds
     */
    public void onTaken(long acquired, long revision, long requestedNanos) {
        lease = acquired;
        fencingToken = revision;
        held = true;
        onRenewed(requestedNanos);
    }

    /**
     * Takes in that the lease was renewed.
     *
     * @param requestedNanos when the renewal was sent, on the monotonic clock in nanoseconds
     */
    public void onRenewed(long requestedNanos) {
        safeUntilNanos = requestedNanos + Math.round(ttlMillis * SAFE_SHARE) * Moment.NANOS_PER_MILLI;
    }

    /** Takes in that the duty is lost. */
    public void onLost() {
        held = false;
    }

    /** Returns whether the duty was acquired and not lost since, as far as is known. */
    public boolean held() {
        return held;
    }

    /** Returns the lease. */
    public long lease() {
        return lease;
    }

    /**
     * Returns the fencingToken to act under, or nothing if this process may not act.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public Optional<Long> fence(long nowNanos) {
        return held && nowNanos - safeUntilNanos < 0 ? Optional.of(fencingToken) : Optional.empty();
    }
}
