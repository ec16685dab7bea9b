package org.geraniumstand.decisions.moves;

import java.util.Optional;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.time.Moment;

/** Decides when a process asks for the end of a move to be recorded. */
@Decision(
        name = "end-announcement",
        summary = "Whoever finds the end of a move records it at once; others follow later if it is still missing.")
final class EndAnnouncer {
    private static final long OTHERS_MILLIS = 2_000;
    private static final long REPEAT_MILLIS = 10_000;
    private static final long SPACING_MILLIS = 30;
    private static final long MAX_SPREAD_MILLIS = 10_000;

    private final long order;
    private Optional<Moment> due = Optional.empty();

    /**
     * Creates the decision.
     *
     * @param self the process
     * @param move the move
     */
    EndAnnouncer(ProcessId self, MoveId move) {
        this.order = Integer.toUnsignedLong((self.value() + move.value()).hashCode());
    }

    /**
     * Tells whether the end is to be recorded now.
     *
     * @param found whether this process found the end itself
     * @param peers number of processes
     * @param now the time
     */
    boolean isDue(boolean found, int peers, Moment now) {
        long turn = order % Math.max(1, Math.min(MAX_SPREAD_MILLIS, peers * SPACING_MILLIS));
        if (due.isEmpty()) {
            due = Optional.of(later(now, found ? 0 : OTHERS_MILLIS + turn));
        }
        if (now.millisSince(due.get()) < 0) {
            return false;
        }
        due = Optional.of(later(now, REPEAT_MILLIS + turn));
        return true;
    }

    private static Moment later(Moment now, long millis) {
        return new Moment(now.nanos() + millis * Moment.NANOS_PER_MILLI, now.epochMillis() + millis);
    }
}
