package org.geraniumstand.decisions.relay;

import java.util.OptionalLong;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Timestamp;

/** Decides whether to avoid a server that other processes could not connect to. Not thread-safe. */
@Decision(
        name = "gone-server",
        summary = "A server that two processes could not connect to within the last two seconds is used only "
                + "if no other is left, until it answers this process or its entry changes.")
final class GoneServer {
    /**
     * Milliseconds for which a failed connection is told and counts. A sound server that two processes wrongly take for gone
     * is avoided for no longer, and the entry of one that is gone expires within seconds.
     */
    private static final long VALID_MILLIS = 2_000;

    /** Number of processes that must agree, as a single one may be cut off itself. */
    private static final int MIN_PROCESSES = 2;

    private OptionalLong notConnectedNanos = OptionalLong.empty();
    private OptionalLong agreedNanos = OptionalLong.empty();
    private OptionalLong upNanos = OptionalLong.empty();

    GoneServer() {}

    /**
     * Records that this process could not connect to the server.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    void onNotConnected(long nowNanos) {
        notConnectedNanos = OptionalLong.of(nowNanos);
    }

    /**
     * Records that processes could not connect to the server.
     *
     * @param atNanos when the last of them tried, on the monotonic clock in nanoseconds
     * @param processes number of processes
     */
    void onNotConnectedRemotely(long atNanos, int processes) {
        boolean upSince = upNanos.isPresent() && atNanos - upNanos.getAsLong() <= 0;
        if (processes >= MIN_PROCESSES && !upSince) {
            agreedNanos = OptionalLong.of(atNanos);
        }
    }

    /**
     * Records that the server answered this process or wrote its entry.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    void onUp(long nowNanos) {
        upNanos = OptionalLong.of(nowNanos);
        notConnectedNanos = OptionalLong.empty();
        agreedNanos = OptionalLong.empty();
    }

    /** Returns when this process could not connect to the server; empty if the server was up since or that is too long ago. */
    OptionalLong notConnectedNanos(long nowNanos) {
        return valid(notConnectedNanos, nowNanos) ? notConnectedNanos : OptionalLong.empty();
    }

    /** Returns whether other servers are preferred to this one. */
    boolean avoided(long nowNanos) {
        return valid(agreedNanos, nowNanos);
    }

    private static boolean valid(OptionalLong atNanos, long nowNanos) {
        return atNanos.isPresent() && nowNanos - atNanos.getAsLong() < VALID_MILLIS * Timestamp.NANOS_PER_MILLI;
    }
}
