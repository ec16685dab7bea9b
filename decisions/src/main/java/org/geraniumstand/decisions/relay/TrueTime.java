package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Moment;

/** Estimates the true time of day from a wall clock that may jump and a steady one that may pause. */
@Decision(
        name = "true-time",
        summary = "The time of day runs with the steady clock; a jump of the wall clock is followed only once it has"
                + " stayed for a while.")
public final class TrueTime {
    /** Milliseconds by which the wall clock may drift without being taken to have jumped. */
    private static final long MAX_DRIFT_MILLIS = 60;

    /** Milliseconds for which a jump must have stayed; clocks that were set wrong are set right within seconds. */
    private static final long JUMP_CONFIRM_MILLIS = 8_000;

    private long offsetMillis;
    private long jumpOffsetMillis;
    private long jumpSinceNanos;
    private boolean jumped;
    private boolean initialized;

    /** Creates an estimate that takes the first reading as it is. */
    public TrueTime() {}

    /**
     * Takes in a reading of both clocks.
     *
     * @param now the reading
     * @return the estimated time in milliseconds since 1970
     */
    public long read(Moment now) {
        long steadyMillis = now.nanos() / Moment.NANOS_PER_MILLI;
        long offset = now.epochMillis() - steadyMillis;
        if (!initialized) {
            initialized = true;
            offsetMillis = offset;
        } else if (Math.abs(offset - offsetMillis) <= MAX_DRIFT_MILLIS) {
            offsetMillis = offset;
            jumped = false;
        } else {
            onJump(offset, now);
        }
        return steadyMillis + offsetMillis;
    }

    private void onJump(long offset, Moment now) {
        if (!jumped || Math.abs(offset - jumpOffsetMillis) > MAX_DRIFT_MILLIS) {
            jumped = true;
            jumpOffsetMillis = offset;
            jumpSinceNanos = now.nanos();
        } else if (now.nanos() - jumpSinceNanos > JUMP_CONFIRM_MILLIS * Moment.NANOS_PER_MILLI) {
            offsetMillis = offset;
            jumped = false;
        }
    }
}
