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
public final class MoveEnding {
    private static final Log LOG = Log.of(MoveEnding.class);
    private static final long TURN_MILLIS = 300;
    private static final int LAST_TURN = 20;

    private final ConfigurationWriter writer;
    private final Timer timer;
    private final ProcessId self;
    private final SharedState facts;
    private final StoreContact contact;
    private final Set<MoveId> underWay = new HashSet<>();

    /**
     * Creates a writer of move ends.
     *
     * @param writer changes the configuration
     * @param timer schedules writes and retries
     * @param self ID of this process
     * @param facts provides the live members
     * @param contact provides the backoff while the store is unavailable
     */
    public MoveEnding(
            ConfigurationWriter writer, Timer timer, ProcessId self, SharedState facts, StoreContact contact) {
        this.writer = writer;
        this.timer = timer;
        this.self = self;
        this.facts = facts;
        this.contact = contact;
    }

    /**
     * Records the end of a move; retries until the store answers. Must be called on the timer's thread.
     * @param end move with its final state and reason
     */
    public void end(Action.EndMove end) {
        if (underWay.add(end.move())) {
            timer.after(() -> write(end), turn(end.move()) * TURN_MILLIS);
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
        boolean known = current.moves().stream().anyMatch(move -> move.id().equals(end.move()));
        if (!known) {
            return Result.err("the configuration has no move " + end.move());
        }
        return Result.ok(MoveEndRecorder.apply(current, end.move(), end.end(), end.reason()));
    }

    private void write(Action.EndMove end) {
        writer.change(
                current -> apply(current, end),
                result -> result.fold(
                        accepted -> {
                            underWay.remove(end.move());
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
        boolean lasting = error.kind() == WriteError.Kind.REFUSED;
        if (lasting) {
            underWay.remove(end.move());
        } else {
            timer.after(() -> write(end), contact.onFailure());
        }
        LOG.warn(
                "move-end-not-recorded",
                Field.of("move", end.move()),
                Field.of("reason", error.detail()),
                Field.of("again", !lasting));
        return false;
    }

    private int turn(MoveId move) {
        List<Member> order =
                RendezvousHashing.top("end/" + move, facts.view().members(), m -> m.id().value(), LAST_TURN);
        for (int i = 0; i < order.size(); i++) {
            if (order.get(i).id().equals(self)) {
                return i;
            }
        }
        return LAST_TURN;
    }
}
