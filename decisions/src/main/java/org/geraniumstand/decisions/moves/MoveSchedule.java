package org.geraniumstand.decisions.moves;

import org.geraniumstand.model.config.VersionMove;

/**
 * Defines the phases of a move as fractions of the time between its start and its deadline.
 *
 * <p>During the first half the share stays small, so that a version that starts to fail late affects few requests. Then
 * the share doubles repeatedly until it is full. The remaining time is slack for cold servers, reclaims and low
 * traffic, and for the soak under full load.
 *
 * @param startMillis when the move starts, in milliseconds since 1970
 * @param deadlineMillis when the move must have ended, in milliseconds since 1970
 */
record MoveSchedule(long startMillis, long deadlineMillis) {
    /** Minimum duration of a move, in milliseconds; a shorter move leaves too little time to evaluate the version. */
    static final long MIN_DURATION_MILLIS = 120_000;

    private static final int RAMP_START_PERCENT = 50;
    private static final int SOAK_PERCENT = 10;
    private static final long MIN_SOAK_MILLIS = 10_000;
    private static final int DOUBLING_TIMES_PER_MOVE = 150;
    private static final long MIN_DOUBLING_MILLIS = 2_000;
    private static final int PROPAGATION_TIMES_PER_MOVE = 200;
    private static final long MIN_PROPAGATION_MILLIS = 2_000;
    private static final int PERCENT = 100;

    /**
     * Returns the schedule of a move.
     *
     * @param move the move
     */
    static MoveSchedule of(VersionMove move) {
        return new MoveSchedule(move.startEpochMillis(), move.deadlineEpochMillis());
    }

    /** Returns the time between start and deadline, in milliseconds. */
    long durationMillis() {
        return deadlineMillis - startMillis;
    }

    /** Returns when the share starts to grow, in milliseconds since 1970. */
    long rampStartMillis() {
        return startMillis + durationMillis() * RAMP_START_PERCENT / PERCENT;
    }

    /** Returns the shortest time in which the share may double, in milliseconds. */
    long doublingMillis() {
        return Math.max(durationMillis() / DOUBLING_TIMES_PER_MOVE, MIN_DOUBLING_MILLIS);
    }

    /** Returns how long the new version must serve full load, in milliseconds. */
    long soakMillis() {
        return Math.max(durationMillis() * SOAK_PERCENT / PERCENT, MIN_SOAK_MILLIS);
    }

    /** Returns the latest time at which a process may declare the move complete, in milliseconds since 1970. */
    long lastCompletionMillis() {
        return deadlineMillis - 2 * propagationMillis();
    }

    /** Returns when an incomplete move is withdrawn, in milliseconds since 1970. */
    long withdrawalMillis() {
        return deadlineMillis - propagationMillis();
    }

    /** Returns the time allowed for a finding to reach all processes, in milliseconds. */
    private long propagationMillis() {
        return Math.max(durationMillis() / PROPAGATION_TIMES_PER_MOVE, MIN_PROPAGATION_MILLIS);
    }
}
