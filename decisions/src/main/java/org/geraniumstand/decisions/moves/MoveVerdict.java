package org.geraniumstand.decisions.moves;

import java.util.Optional;
import java.util.function.Supplier;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.MoveState;
import org.geraniumstand.model.config.VersionMove;

/**
 * Decides whether a move has ended and how.
 *
 * <p>A function of the plan, the time and two facts that spread to all processes and are never taken back, so that
 * all come to the same end also while the store is out. Badness goes before completion.
 */
@Decision(
        name = "move-end",
        summary = "A move ends as done once the new version has borne full load, and is withdrawn when it is bad or"
                + " late.")
final class MoveVerdict {
    /** Reason of a move that was done. */
    static final String BORNE = "the new version has borne full load";

    /** Reason of a move whose deadline leaves no time to judge. */
    static final String TOO_CLOSE = "the deadline leaves less than "
            + MoveTimes.MIN_LENGTH_MILLIS / 1_000
            + " s, too little to judge the new version";

    private MoveVerdict() {}

    /**
     * How a move ended.
     *
     * @param state done or withdrawn
     * @param reason why
     */
    record End(MoveState state, String reason) {}

    /**
     * Returns the end of a move, if it has ended.
     *
     * @param move the plan
     * @param nowMillis the time in milliseconds since 1970
     * @param bad why the new version is bad, if a mark says so
     * @param complete whether a process has found the move complete
     * @param obstacle tells why the move is not complete yet
     */
    static Optional<End> of(
            VersionMove move, long nowMillis, Optional<String> bad, boolean complete, Supplier<String> obstacle) {
        MoveTimes times = MoveTimes.of(move);
        if (bad.isPresent()) {
            return Optional.of(new End(MoveState.WITHDRAWN, bad.get()));
        }
        if (times.length() < MoveTimes.MIN_LENGTH_MILLIS) {
            return Optional.of(new End(MoveState.WITHDRAWN, TOO_CLOSE));
        }
        if (complete) {
            return Optional.of(new End(MoveState.DONE, BORNE));
        }
        if (nowMillis >= times.withdrawal()) {
            return Optional.of(new End(MoveState.WITHDRAWN, "the deadline came before completion: " + obstacle.get()));
        }
        return Optional.empty();
    }
}
