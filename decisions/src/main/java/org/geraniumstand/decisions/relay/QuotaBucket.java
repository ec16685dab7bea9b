package org.geraniumstand.decisions.relay;

import org.geraniumstand.model.time.Timestamp;

/**
 * Holds the level of a team's quota at an aggregator. The level is divided between the processes that report to it and
 * the others, whose part is set aside until they report. Not thread-safe.
 */
final class QuotaBucket {
    private static final double NANOS_IN_SECOND = Timestamp.NANOS_PER_MILLI * 1e3;

    /** Seconds of the team's rate that a debt may amount to; what was used earlier no longer counts. */
    private static final double MAX_DEBT_SECONDS = 8;

    /** Longest time that is refilled at once; an aggregator that stood still does not know who reported meanwhile. */
    private static final double MAX_STEP_SECONDS = 1;

    private double available;
    private double setAside;
    private double share;
    private long refilledNanos;

    /**
     * Creates an empty bucket, because other processes may have used the whole burst.
     *
     * @param share fraction of the processes that report
     * @param nowNanos the monotonic time in nanoseconds
     */
    QuotaBucket(double share, long nowNanos) {
        this.share = share;
        this.refilledNanos = nowNanos;
    }

    /**
     * Refills the bucket and divides its level anew.
     *
     * @param rate units per second that are refilled
     * @param burst maximum level of the whole bucket
     * @param nextShare fraction of the processes that report now
     * @param nowNanos the monotonic time in nanoseconds
     */
    void advance(double rate, double burst, double nextShare, long nowNanos) {
        double seconds = Math.min(MAX_STEP_SECONDS, Math.max(0, nowNanos - refilledNanos) / NANOS_IN_SECOND);
        double refillShare = Math.min(share, nextShare);
        available += rate * seconds * refillShare;
        setAside += rate * seconds * (1 - refillShare);
        refilledNanos = nowNanos;
        if (nextShare < share) {
            // A debt stays whole, because those that no longer report may have ended.
            double moved = Math.max(0, available) * (1 - nextShare / share);
            available -= moved;
            setAside += moved;
        } else if (nextShare > share) {
            double returned = setAside * (nextShare - share) / (1 - share);
            available += returned;
            setAside -= returned;
        }
        share = nextShare;
        available = Math.max(-rate * MAX_DEBT_SECONDS - burst, Math.min(burst * share, available));
        setAside = Math.min(burst * (1 - share), setAside);
    }

    /** Subtracts units that were used; negative units are given back. */
    void charge(double units) {
        available -= units;
    }

    /** Raises the level of the processes that report to at least a value. */
    void raiseTo(double minAvailable) {
        available = Math.max(available, minAvailable);
    }

    /** Replaces the whole level. */
    void replace(double total) {
        available = total > 0 ? total * share : total;
        setAside = total > 0 ? total * (1 - share) : 0;
    }

    /** Returns the fraction of the processes that report. */
    double share() {
        return share;
    }

    /** Returns the units that the processes which don't report may use. */
    double setAside() {
        return setAside;
    }

    /** Returns the units that the processes which report may use together; negative if they are in debt. */
    double available() {
        return available;
    }
}
