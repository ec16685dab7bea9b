package org.geraniumstand.decisions.moves;

import org.geraniumstand.model.config.VersionMove;

/**
 * The phases of a move, as parts of the time between its start and its deadline.
 *
 * <p>The first half passes at a small share, so that a version that turns bad late costs little. Then the share
 * doubles again and again until it is full. What is left of the time is slack for cold servers, reclaims and thin
 * traffic, and the soak under full load.
 *
 * @param startMillis when the move starts, in milliseconds since 1970
 * @param deadlineMillis when it must have ended, in milliseconds since 1970
 */
record MoveTimes(long startMillis, long deadlineMillis) {
    /** Shortest time for a move, in milliseconds; a shorter one cannot be judged. */
    static final long MIN_LENGTH_MILLIS = 120_000;

    private static final int RAMP_PERCENT = 50;
    private static final int SOAK_PERCENT = 10;
    private static final long MIN_SOAK_MILLIS = 10_000;
    private static final int DOUBLINGS_IN_LENGTH = 150;
    private static final long MIN_DOUBLING_MILLIS = 2_000;
    private static final int GUARDS_IN_LENGTH = 200;
    private static final long MIN_GUARD_MILLIS = 2_000;
    private static final int PERCENT = 100;

    /**
     * Returns the phases of a move.
     *
     * @param move the move
     */
    static MoveTimes of(VersionMove move) {
        return new MoveTimes(move.startEpochMillis(), move.deadlineEpochMillis());
    }

    /** Returns the time between start and deadline in milliseconds. */
    long length() {
        return deadlineMillis - startMillis;
    }

    /** Returns when the share begins to grow, in milliseconds since 1970. */
    long rampStart() {
        return startMillis + length() * RAMP_PERCENT / PERCENT;
    }

    /** Returns the time in which the share may double, in milliseconds. */
    long doubling() {
        return Math.max(length() / DOUBLINGS_IN_LENGTH, MIN_DOUBLING_MILLIS);
    }

    /** Returns how long the new version must bear full load, in milliseconds. */
    long soak() {
        return Math.max(length() * SOAK_PERCENT / PERCENT, MIN_SOAK_MILLIS);
    }

    /** Returns the last moment at which a process may find the move complete, in milliseconds since 1970. */
    long lastCompletion() {
        return deadlineMillis - 2 * guard();
    }

    /** Returns when a move that is not complete is withdrawn, in milliseconds since 1970. */
    long withdrawal() {
        return deadlineMillis - guard();
    }

    /** Returns the time that a finding gets to reach all processes, in milliseconds. */
    private long guard() {
        return Math.max(length() / GUARDS_IN_LENGTH, MIN_GUARD_MILLIS);
    }
}
