package org.geraniumstand.decisions.moves;

import java.util.List;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.MoveState;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.VersionMove;
import org.geraniumstand.model.id.MoveId;

/** Records the end of a move in a configuration. */
public final class MoveEndRecorder {
    private MoveEndRecorder() {}

    /**
     * Returns the configuration with the move ended and its service set to the resulting version.
     *
     * <p>The generation does not change. If the move does not exist or has already ended, the configuration is returned
     * unchanged, so that the first end is final.
     *
     * @param configuration the configuration that contains the move
     * @param move the move to end
     * @param end the final state, done or withdrawn
     * @param reason why the move ended
     */
    public static Configuration apply(Configuration configuration, MoveId move, MoveState end, String reason) {
        boolean inProgress = configuration.moves().stream()
                .anyMatch(candidate -> candidate.id().equals(move) && candidate.state() == MoveState.UNDER_WAY);
        if (!inProgress || end == MoveState.UNDER_WAY) {
            return configuration;
        }
        List<VersionMove> moves = configuration.moves().stream()
                .map(candidate -> candidate.id().equals(move) ? candidate.ended(end, reason) : candidate)
                .toList();
        List<Service> services = configuration.services().stream()
                .map(service -> withEndedMove(service, moves, move, end))
                .toList();
        return configuration.withMoves(moves).withServices(services);
    }

    private static Service withEndedMove(Service service, List<VersionMove> moves, MoveId ended, MoveState end) {
        return moves.stream()
                .filter(candidate ->
                        candidate.id().equals(ended) && candidate.service().equals(service.id()))
                .findFirst()
                .map(candidate -> service.withVersion(end == MoveState.DONE ? candidate.to() : candidate.from()))
                .orElse(service);
    }
}
