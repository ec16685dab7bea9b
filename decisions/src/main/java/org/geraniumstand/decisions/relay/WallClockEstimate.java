package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Timestamp;

/** Estimates the time of day from a wall clock that may jump and a monotonic clock that may pause. */
@Decision(
        name = "true-time",
        summary = "The estimated time of day advances with the monotonic clock; a jump of the "
                + "wall clock is adopted only after it has persisted for several seconds.")
public final class WallClockEstimate {
    /** Milliseconds by which the wall clock may deviate without counting as a jump. */
    private static final long MAX_DRIFT_MILLIS = 60;

    /**
     * Milliseconds for which a jump must persist before it is adopted; wrongly set clocks are corrected within seconds.
     */
    private static final long JUMP_CONFIRM_MILLIS = 8_000;

    private long offsetMillis;
    private long jumpOffsetMillis;
    private long jumpSinceNanos;
    private boolean jumped;
    private boolean initialized;

    /** Creates an estimate that adopts the first reading as it is. */
    public WallClockEstimate() {}

    /**
     * Updates the estimate from a reading of both clocks.
     *
     * @param now the reading of both clocks
     * @return the estimated time in milliseconds since 1970
     */
    public long read(Timestamp now) {
        long monotonicMillis = now.nanos() / Timestamp.NANOS_PER_MILLI;
        long offset = now.epochMillis() - monotonicMillis;
        if (!initialized) {
            initialized = true;
            offsetMillis = offset;
        } else if (Math.abs(offset - offsetMillis) <= MAX_DRIFT_MILLIS) {
            offsetMillis = offset;
            jumped = false;
        } else {
            onJump(offset, now);
        }
        return monotonicMillis + offsetMillis;
    }

    private void onJump(long offset, Timestamp now) {
        if (!jumped || Math.abs(offset - jumpOffsetMillis) > MAX_DRIFT_MILLIS) {
            jumped = true;
            jumpOffsetMillis = offset;
            jumpSinceNanos = now.nanos();
        } else if (now.nanos() - jumpSinceNanos > JUMP_CONFIRM_MILLIS * Timestamp.NANOS_PER_MILLI) {
            offsetMillis = offset;
            jumped = false;
        }
    }
}
