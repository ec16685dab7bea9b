package org.geraniumstand.entry.task;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.membership.RendezvousHashing;
import org.geraniumstand.decisions.moves.MoveEndRecorder;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.peer.SharedState;
import org.geraniumstand.support.log.Log;

/**
 * Writes the end of version moves to the configuration.
 *
 * <p>Several processes may decide to end the same move. Each waits for a delay by its rank for the move, and the first
 * record is kept.
 */
public final class MoveEndWriter {
    private static final Log LOG = Log.of(MoveEndWriter.class);
    private static final long RANK_DELAY_MILLIS = 300;
    private static final int MAX_RANK = 20;

    private final ConfigurationWriter writer;
    private final Timer timer;
    private final ProcessId self;
    private final SharedState sharedState;
    private final StoreAvailability availability;
    private final Set<MoveId> movesInProgress = new HashSet<>();

    /**
     * Creates a writer of move ends.
     *
     * @param writer changes the configuration
     * @param timer schedules writes and retries
     * @param self ID of this process
     * @param sharedState provides the live members
     * @param availability provides the backoff while the store is unavailable
     */
    public MoveEndWriter(
            ConfigurationWriter writer,
            Timer timer,
            ProcessId self,
            SharedState sharedState,
            StoreAvailability availability) {
        this.writer = writer;
        this.timer = timer;
        this.self = self;
        this.sharedState = sharedState;
        this.availability = availability;
    }

    /**
     * Records the end of a move; retries until the store answers. Must be called on the timer's thread.
     * @param end move with its final state and reason
     */
    public void end(Action.EndMove end) {
        if (movesInProgress.add(end.move())) {
            timer.after(() -> write(end), rank(end.move()) * RANK_DELAY_MILLIS);
        }
    }

    /**
     * Returns the document in which a move has ended.
     *
     * @param current document to change
     * @param end move with its final state and reason
     * @return the changed document, the same document if the move has already ended, or an error for an unknown move
     */
    public static Result<Configuration, String> apply(Configuration current, Action.EndMove end) {
        boolean exists = current.moves().stream().anyMatch(move -> move.id().equals(end.move()));
        if (!exists) {
            return Result.err("the configuration has no move " + end.move());
        }
        return Result.ok(MoveEndRecorder.apply(current, end.move(), end.finalState(), end.reason()));
    }

    private void write(Action.EndMove end) {
        writer.change(
                current -> apply(current, end),
                result -> result.fold(
                        accepted -> {
                            movesInProgress.remove(end.move());
                            LOG.info(
                                    "move-end-recorded",
                                    Field.of("move", end.move()),
                                    Field.of(
                                            "generation",
                                            accepted.configuration().generation()));
                            return true;
                        },
                        error -> retry(end, error)));
    }

    private boolean retry(Action.EndMove end, WriteError error) {
        boolean permanent = error.kind() == WriteError.Kind.REFUSED;
        if (permanent) {
            movesInProgress.remove(end.move());
        } else {
            timer.after(() -> write(end), availability.onFailure());
        }
        LOG.warn(
                "move-end-not-recorded",
                Field.of("move", end.move()),
                Field.of("reason", error.detail()),
                Field.of("again", !permanent));
        return false;
    }

    private int rank(MoveId move) {
        List<Member> ranking =
                RendezvousHashing.top("end/" + move, sharedState.view().members(), m -> m.id().value(), MAX_RANK);
        for (int i = 0; i < ranking.size(); i++) {
            if (ranking.get(i).id().equals(self)) {
                return i;
            }
        }
        return MAX_RANK;
    }
}
