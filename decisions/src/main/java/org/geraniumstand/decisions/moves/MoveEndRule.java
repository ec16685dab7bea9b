package org.geraniumstand.decisions.moves;

import java.util.Optional;
import java.util.function.Supplier;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.MoveState;
import org.geraniumstand.model.config.VersionMove;

/**
 * Decides whether a move has ended, and with which state and reason.
 *
 * <p>The result depends only on the move, the time and two findings that are sent to all processes and never retracted,
 * so all processes reach the same result even while the store is unavailable. A rejection takes precedence over
 * completion.
 */
@Decision(
        name = "move-end",
        summary = "A move completes once the new version has sustained full load, and is withdrawn if the version"
                + " is bad or the move is late.")
final class MoveEndRule {
    /** Reason of a completed move. */
    static final String FULL_LOAD_SUSTAINED = "the new version has sustained full load";

    /** Reason of a move whose deadline leaves too little time for an evaluation. */
    static final String DEADLINE_TOO_CLOSE = "the move lasts less than "
            + MoveSchedule.MIN_DURATION_MILLIS / 1_000
            + " s, too short to evaluate the new version";

    private MoveEndRule() {}

    /**
     * Describes the end of a move.
     *
     * @param state the final state, done or withdrawn
     * @param reason why the move ended
     */
    record End(MoveState state, String reason) {}

    /**
     * Returns the end of a move, or empty if the move continues.
     *
     * @param move the move
     * @param nowMillis the current time in milliseconds since 1970
     * @param rejection why the new version was rejected, if it was
     * @param completionReported whether any process found the move complete
     * @param missingCondition returns the condition for completion that is not met yet
     */
    static Optional<End> endOf(
            VersionMove move,
            long nowMillis,
            Optional<String> rejection,
            boolean completionReported,
            Supplier<String> missingCondition) {
        MoveSchedule schedule = MoveSchedule.of(move);
        if (rejection.isPresent()) {
            return Optional.of(new End(MoveState.WITHDRAWN, rejection.get()));
        }
        if (schedule.durationMillis() < MoveSchedule.MIN_DURATION_MILLIS) {
            return Optional.of(new End(MoveState.WITHDRAWN, DEADLINE_TOO_CLOSE));
        }
        if (completionReported) {
            return Optional.of(new End(MoveState.DONE, FULL_LOAD_SUSTAINED));
        }
        if (nowMillis >= schedule.withdrawalMillis()) {
            return Optional.of(new End(
                    MoveState.WITHDRAWN, "the move did not complete before its deadline: " + missingCondition.get()));
        }
        return Optional.empty();
    }
}
