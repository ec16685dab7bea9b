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
final class ColdBelief {
    private long listedUntilNanos;

    /** Whether the server may have turned cold unseen, and the last moment at which it may have. */
    private boolean mayHaveTurned;

    private long turnedNanos;

    /** Whether a process lost the server since it was known to be up, and when one did last. */
    private boolean lost;

    private long lostNanos;
    private OptionalLong lostHereNanos = OptionalLong.empty();
    private long upNanos;
    private final StoreSilence silence;

    ColdBelief(StoreSilence silence, long nowNanos) {
        this.silence = silence;
        this.listedUntilNanos = nowNanos;
        this.upNanos = nowNanos;
    }

    /**
     * Takes in what the server's entry says.
     *
     * @param coldMillis how much longer the server is cold, in milliseconds
     * @param nowNanos the monotonic time in nanoseconds
     */
    void onListed(long coldMillis, long nowNanos) {
        listedUntilNanos = nowNanos + coldMillis * Moment.NANOS_PER_MILLI;
    }

    /**
     * Takes in that the server's entry says something new, so that the server wrote it after it was lost.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    void onNews(long nowNanos) {
        lost = false;
        lostHereNanos = OptionalLong.empty();
        upNanos = nowNanos;
    }

    /**
     * Takes in that the server answered. While the store is silent that may be after a start that nobody heard of.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    void onAnswered(long nowNanos) {
        if (!silence.silent(nowNanos)) {
            onNews(nowNanos);
        }
    }

    /**
     * Takes in that this process could no longer reach the server.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    void onLost(long nowNanos) {
        lostHereNanos = OptionalLong.of(nowNanos);
        onLostByAny(nowNanos);
    }

    /**
     * Takes in that some process could no longer reach the server.
     *
     * @param atNanos when it noticed, on the monotonic clock in nanoseconds
     */
    void onLostByAny(long atNanos) {
        if (atNanos - upNanos <= 0) {
            return;
        }
        lostNanos = lost && lostNanos - atNanos > 0 ? lostNanos : atNanos;
        lost = true;
    }

    /** Returns when this process lost the server, on the monotonic clock in nanoseconds, if it did since the server was known to be up. */
    OptionalLong lostHereNanos() {
        return lostHereNanos;
    }

    /**
     * Takes in that the server's data centre takes work again. It did not serve in between, and its entry tells of that only with
     * the next heartbeat.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    void onTakenBackIn(long nowNanos) {
        mayHaveTurned = true;
        turnedNanos = nowNanos;
    }

    /**
     * Returns whether the server's entry says that it is cold.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    boolean listed(long nowNanos) {
        return nowNanos - listedUntilNanos < 0;
    }

    /**
     * Returns how much longer the server counts as cold, in nanoseconds, or zero.
     *
     * @param startMillis how long a server of its service is cold after its start, in milliseconds
     * @param nowNanos the monotonic time in nanoseconds
     */
    long leftNanos(long startMillis, long nowNanos) {
        long left = listedUntilNanos - nowNanos;
        if (mayHaveTurned) {
            left = Math.max(left, turnedNanos + startMillis * Moment.NANOS_PER_MILLI - nowNanos);
        }
        if (lost && silence.mayHaveStarted(lostNanos, nowNanos)) {
            left = Math.max(left, startMillis * Moment.NANOS_PER_MILLI);
        }
        return Math.max(0, left);
    }
}
