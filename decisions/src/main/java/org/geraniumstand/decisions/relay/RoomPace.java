package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;

/**
 * Learns how long calls of a service wait for the beginning of their answers compared with what the work known at their
 * servers let expect. Servers that also write answers read more slowly the more they write. Not thread-safe.
 */
@Decision(
        name = "room-pace",
        summary =
                "Room at engines is tight while answers begin late for their targets; what is known to wait there then counts "
                        + "with the time that answers have taken to begin compared with it.")
final class RoomPace {
    /** Part of what is known that an answer replaces; the pace then follows some tens of answers, a few seconds of a process. */
    private static final double NEWS_SHARE = 0.05;

    /** Bounds of the pace, against single odd answers. */
    private static final double LEAST = 0.2;

    private static final double MOST = 20;

    /**
     * Part of the target that answers wait on average, beyond what an idle engine takes, from which on room is tight. Where an engine takes no more
     * than this, a call that comes by chance when more waits is still in time.
     */
    private static final double TIGHT_WAIT_SHARE = 0.25;

    /** Part of the known wait that an answer replaces; some five answers, half a second of a process. */
    private static final double WAIT_NEWS_SHARE = 0.2;

    /** Part of the target below which room is no longer tight; less than above, as processes that differ undo each other's care. */
    private static final double AMPLE_WAIT_SHARE = 0.1;

    private double waitShare;
    private boolean tight;
    private double expectedMillis;
    private double observedMillis;

    /**
     * Records that an answer began.
     *
     * @param expected the milliseconds that the work known at its server let expect as the call was sent
     * @param observed the milliseconds that it took
     * @param own the milliseconds that it would have taken at an idle server, as far as known
     * @param target the latency target of the call in milliseconds
     */
    void onStarted(double expected, double observed, double own, double target) {
        // What an idle engine and this host take says nothing of room.
        double waited = Math.max(0, observed - own);
        waitShare += WAIT_NEWS_SHARE * (waited / Math.max(1, target) - waitShare);
        tight = waitShare > (tight ? AMPLE_WAIT_SHARE : TIGHT_WAIT_SHARE);
        expectedMillis += NEWS_SHARE * (expected - expectedMillis);
        observedMillis += NEWS_SHARE * (observed - observedMillis);
    }

    /** Returns whether answers begin so late that it matters how much waits at a server. */
    boolean tight() {
        return tight;
    }

    /** Returns the milliseconds that an expected one takes. */
    double factor() {
        return expectedMillis <= 0 ? 1 : Math.max(LEAST, Math.min(MOST, observedMillis / expectedMillis));
    }
}
