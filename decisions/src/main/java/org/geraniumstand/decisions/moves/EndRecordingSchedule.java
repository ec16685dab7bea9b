package org.geraniumstand.decisions.moves;

import java.util.Optional;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.time.Timestamp;

/** Schedules when a process requests that the end of a move is recorded. */
@Decision(
        name = "end-announcement",
        summary = "The process that detects the end of a move records it immediately; other processes record it later"
                + " if it is missing.")
final class EndRecordingSchedule {
    private static final long FALLBACK_MILLIS = 2_000;
    private static final long RETRY_MILLIS = 10_000;
    private static final long STAGGER_MILLIS_PER_PEER = 30;
    private static final long MAX_STAGGER_MILLIS = 10_000;

    private final long staggerHash;
    private Optional<Timestamp> nextDue = Optional.empty();

    /**
     * Creates the schedule of one process for one move.
     *
     * @param self this process
     * @param move the move whose end is recorded
     */
    EndRecordingSchedule(ProcessId self, MoveId move) {
        this.staggerHash = Integer.toUnsignedLong((self.value() + move.value()).hashCode());
    }

    /**
     * Returns whether the end must be recorded now, and schedules the next attempt if so.
     *
     * @param detectedLocally whether this process detected the end itself
     * @param peerCount number of processes over which the attempts are staggered
     * @param now the current time
     */
    boolean isDue(boolean detectedLocally, int peerCount, Timestamp now) {
        long staggerMillis =
                staggerHash % Math.max(1, Math.min(MAX_STAGGER_MILLIS, peerCount * STAGGER_MILLIS_PER_PEER));
        if (nextDue.isEmpty()) {
            nextDue = Optional.of(plusMillis(now, detectedLocally ? 0 : FALLBACK_MILLIS + staggerMillis));
        }
        if (now.millisSince(nextDue.get()) < 0) {
            return false;
        }
        nextDue = Optional.of(plusMillis(now, RETRY_MILLIS + staggerMillis));
        return true;
    }

    private static Timestamp plusMillis(Timestamp now, long millis) {
        return new Timestamp(now.nanos() + millis * Timestamp.NANOS_PER_MILLI, now.epochMillis() + millis);
    }
}
