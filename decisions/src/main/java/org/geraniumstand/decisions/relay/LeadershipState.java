package org.geraniumstand.decisions.relay;

import java.util.Optional;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.relay.StoreLease;
import org.geraniumstand.model.relay.StoreRevision;
import org.geraniumstand.model.time.Timestamp;

/** Tracks whether this process holds the leader lease and may act for all processes. */
@Decision(
        name = "duty-hold",
        summary = "A process acts as leader only while the lease that it last renewed is certain "
                + "to be valid, and with the revision of its election as fencing token.")
public final class LeadershipState {
    /** Fraction of the lease's time to live for which the lease counts as valid; the rest covers a slow call. */
    private static final double SAFE_SHARE = 0.8;

    private final long ttlMillis;
    private StoreLease lease = StoreLease.NONE;
    private long fencingToken;
    private long safeUntilNanos;
    private boolean held;

    /**
     * Creates a state without a lease.
     *
     * @param ttlMillis time to live of the lease after each renewal, in milliseconds
     */
    public LeadershipState(long ttlMillis) {
        this.ttlMillis = ttlMillis;
    }

    /**
     * Records that this process became leader.
     *
     * @param acquired the lease that holds the leader key
     * @param revision the store revision at which the leader key was acquired
     * @param requestedNanos when the lease was requested, on the monotonic clock in nanoseconds
     */
    public void onAcquired(StoreLease acquired, StoreRevision revision, long requestedNanos) {
        lease = acquired;
        fencingToken = revision.toNumber();
        held = true;
        onRenewed(requestedNanos);
    }

    /**
     * Records that the lease was renewed.
     *
     * @param requestedNanos when the renewal was sent, on the monotonic clock in nanoseconds
     */
    public void onRenewed(long requestedNanos) {
        safeUntilNanos = requestedNanos + Math.round(ttlMillis * SAFE_SHARE) * Timestamp.NANOS_PER_MILLI;
    }

    /** Records that this process is no longer the leader. */
    public void onLost() {
        held = false;
    }

    /** Returns whether this process became leader and has not been informed of a loss since. */
    public boolean held() {
        return held;
    }

    /** Returns the time for which the lease lasts at least after this process could last act as leader, in milliseconds. */
    public long reserveMillis() {
        return ttlMillis - Math.round(ttlMillis * SAFE_SHARE);
    }

    /** Returns the lease. */
    public StoreLease lease() {
        return lease;
    }

    /**
     * Returns the fencing token to act with, or empty if this process may not act as leader.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public Optional<Long> fencingToken(long nowNanos) {
        return held && nowNanos - safeUntilNanos < 0 ? Optional.of(fencingToken) : Optional.empty();
    }
}
