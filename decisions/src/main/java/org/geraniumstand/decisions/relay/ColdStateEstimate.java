package org.geraniumstand.decisions.relay;

import java.util.OptionalLong;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Moment;

/** Decides whether a server counts as cold; it belongs to one thread. */
@Decision(
        name = "cold-belief",
        summary =
                "A server counts as cold while its entry says so, and for as long as a start takes after the last moment at"
                        + " which it may have turned cold unseen.")
final class ColdStateEstimate {
    private long listedColdUntilNanos;

    /** Whether the server may have turned cold unseen, and the last moment at which it may have. */
    private boolean mayHaveTurnedCold;

    private long mayHaveTurnedColdNanos;

    /** Whether a process lost the server since it was known to be up, and when one did last. */
    private boolean lost;

    private long lostNanos;
    private OptionalLong lostLocallyNanos = OptionalLong.empty();
    private long lastUpNanos;
    private final StoreStaleness storeStaleness;

    ColdStateEstimate(StoreStaleness storeStaleness, long nowNanos) {
        this.storeStaleness = storeStaleness;
        this.listedColdUntilNanos = nowNanos;
        this.lastUpNanos = nowNanos;
    }

    /**
     * Takes in what the server's entry says.
     *
     * @param coldMillis how much longer the server is cold, in milliseconds
     * @param nowNanos the monotonic time in nanoseconds
     */
    void onListed(long coldMillis, long nowNanos) {
        listedColdUntilNanos = nowNanos + coldMillis * Moment.NANOS_PER_MILLI;
    }

    /**
     * Takes in that the server's entry says something new, so that the server wrote it after it was lost.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    void onEntryChanged(long nowNanos) {
        lost = false;
        lostLocallyNanos = OptionalLong.empty();
        lastUpNanos = nowNanos;
    }

    /**
     * Takes in that the server answered. While the store is silent that may be after a start that nobody heard of.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    void onAnswered(long nowNanos) {
        if (!storeStaleness.isStale(nowNanos)) {
            onEntryChanged(nowNanos);
        }
    }

    /**
     * Takes in that this process could no longer reach the server.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    void onLost(long nowNanos) {
        lostLocallyNanos = OptionalLong.of(nowNanos);
        onLostByAnyProcess(nowNanos);
    }

    /**
     * Takes in that some process could no longer reach the server.
     *
     * @param atNanos when it noticed, on the monotonic clock in nanoseconds
     */
    void onLostByAnyProcess(long atNanos) {
        if (atNanos - lastUpNanos <= 0) {
            return;
        }
        lostNanos = lost && lostNanos - atNanos > 0 ? lostNanos : atNanos;
        lost = true;
    }

    /** Returns when this process lost the server, on the monotonic clock in nanoseconds, if it did since the server was known to be up. */
    OptionalLong lostLocallyNanos() {
        return lostLocallyNanos;
    }

    /**
     * Takes in that the server's data centre takes work again. It did not serve in between, and its entry tells of that only with
     * the next heartbeat.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    void onDataCentreRestored(long nowNanos) {
        mayHaveTurnedCold = true;
        mayHaveTurnedColdNanos = nowNanos;
    }

    /**
     * Returns whether the server's entry says that it is cold.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    boolean listedCold(long nowNanos) {
        return nowNanos - listedColdUntilNanos < 0;
    }

    /**
     * Returns how much longer the server counts as cold, in nanoseconds, or zero.
     *
     * @param warmUpMillis how long a server of its service is cold after its start, in milliseconds
     * @param nowNanos the monotonic time in nanoseconds
     */
    long remainingColdNanos(long warmUpMillis, long nowNanos) {
        long remainingNanos = listedColdUntilNanos - nowNanos;
        if (mayHaveTurnedCold) {
            remainingNanos = Math.max(remainingNanos, mayHaveTurnedColdNanos + warmUpMillis * Moment.NANOS_PER_MILLI - nowNanos);
        }
        if (lost && storeStaleness.mayHaveRestarted(lostNanos, nowNanos)) {
            remainingNanos = Math.max(remainingNanos, warmUpMillis * Moment.NANOS_PER_MILLI);
        }
        return Math.max(0, remainingNanos);
    }
}
