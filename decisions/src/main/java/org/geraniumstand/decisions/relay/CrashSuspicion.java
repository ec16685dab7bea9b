package org.geraniumstand.decisions.relay;

import java.util.OptionalLong;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.time.Timestamp;

/** Decides whether the content of a request may be the reason why its answer broke off. */
@Decision(
        name = "crash-suspicion",
        summary = "A request may have crashed its server if its answer broke off shortly after it began; "
                + "a request that still waited, or that had been answered for longer, did not.")
public final class CrashSuspicion {
    /** Longest time between the begin of an answer and a crash that its request caused, in milliseconds. */
    private static final long MAX_ANSWER_MILLIS = 500;

    private CrashSuspicion() {}

    /**
     * Returns whether a request may have crashed its server.
     *
     * @param end how the attempt ended
     * @param beganNanos when the answer began, on the monotonic clock in nanoseconds, or empty if it did not begin
     * @param nowNanos the monotonic time in nanoseconds
     */
    public static boolean isSuspect(AttemptEnd end, OptionalLong beganNanos, long nowNanos) {
        return end == AttemptEnd.BROKEN && beganNanos.isPresent() && !isPast(beganNanos.getAsLong(), nowNanos);
    }

    /**
     * Returns whether an answer has lasted too long for its request to crash the server.
     *
     * @param beganNanos when the answer began, on the monotonic clock in nanoseconds
     * @param nowNanos the monotonic time in nanoseconds
     */
    public static boolean isPast(long beganNanos, long nowNanos) {
        return nowNanos - beganNanos > MAX_ANSWER_MILLIS * Timestamp.NANOS_PER_MILLI;
    }
}
