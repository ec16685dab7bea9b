package org.geraniumstand.decisions.relay;

import java.util.OptionalLong;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Timestamp;

/** Estimates whether a server is cold. Not thread-safe. */
@Decision(
        name = "cold-belief",
        summary = "A server counts as cold while its entry reports it as cold, and for one warm-up "
                + "period after the last time at which it may have turned cold unnoticed.")
final class ColdStateEstimate {
    private long listedColdUntilNanos;

    /** Whether the server may have turned cold without its entry reporting so. */
    private boolean mayHaveTurnedCold;

    private long mayHaveTurnedColdNanos;

    /** Whether a process has lost contact with the server since it was last known to be up. */
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
     * Records how long the server's entry reports it to stay cold.
     *
     * @param coldMillis remaining time for which the server is cold, in milliseconds
     * @param nowNanos the monotonic time in nanoseconds
     */
    void onListed(long coldMillis, long nowNanos) {
        listedColdUntilNanos = nowNanos + coldMillis * Timestamp.NANOS_PER_MILLI;
    }

    /**
     * Records that the server's entry changed, which shows that the server wrote it after contact was lost.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    void onEntryChanged(long nowNanos) {
        lost = false;
        lostLocallyNanos = OptionalLong.empty();
        lastUpNanos = nowNanos;
    }

    /**
     * Records that the server answered. While the view of the store is stale, the answer may come from a restarted
     * process whose entry is not yet known, so it does not count as proof that the server stayed up.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    void onAnswered(long nowNanos) {
        if (!storeStaleness.isStale(nowNanos)) {
            onEntryChanged(nowNanos);
        }
    }

    /**
     * Records that this process lost contact with the server.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    void onLost(long nowNanos) {
        lostLocallyNanos = OptionalLong.of(nowNanos);
        onLostByAnyProcess(nowNanos);
    }

    /**
     * Records that any process lost contact with the server.
     *
     * @param atNanos when that process noticed the loss, on the monotonic clock in nanoseconds
     */
    void onLostByAnyProcess(long atNanos) {
        if (atNanos - lastUpNanos <= 0) {
            return;
        }
        lostNanos = lost && lostNanos - atNanos > 0 ? lostNanos : atNanos;
        lost = true;
    }

    /**
     * Returns when this process lost contact with the server, on the monotonic clock in nanoseconds, or empty if the
     * server has been up since.
     */
    OptionalLong lostLocallyNanos() {
        return lostLocallyNanos;
    }

    /**
     * Records that the server's data centre is back in service. The server received no requests while it was out, so it
     * may be cold, and its entry reports that only with the next heartbeat.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    void onDataCentreRestored(long nowNanos) {
        mayHaveTurnedCold = true;
        mayHaveTurnedColdNanos = nowNanos;
    }

    /**
     * Returns whether the server's entry reports it as cold.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    boolean listedCold(long nowNanos) {
        return nowNanos - listedColdUntilNanos < 0;
    }

    /**
     * Returns the remaining time for which the server counts as cold, in nanoseconds; zero if it is warm.
     *
     * @param warmUpMillis time for which a server of the service is cold after its start, in milliseconds
     * @param nowNanos the monotonic time in nanoseconds
     */
    long remainingColdNanos(long warmUpMillis, long nowNanos) {
        long remainingNanos = listedColdUntilNanos - nowNanos;
        if (mayHaveTurnedCold) {
            remainingNanos = Math.max(
                    remainingNanos, mayHaveTurnedColdNanos + warmUpMillis * Timestamp.NANOS_PER_MILLI - nowNanos);
        }
        if (lost && storeStaleness.mayHaveRestarted(lostNanos, nowNanos)) {
            remainingNanos = Math.max(remainingNanos, warmUpMillis * Timestamp.NANOS_PER_MILLI);
        }
        return Math.max(0, remainingNanos);
    }
}
