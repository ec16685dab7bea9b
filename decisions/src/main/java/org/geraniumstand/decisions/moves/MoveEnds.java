package org.geraniumstand.decisions.moves;

import java.util.List;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.MoveState;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.VersionMove;
import org.geraniumstand.model.id.MoveId;

/** Writes the end of a move into a configuration. */
public final class MoveEnds {
    private MoveEnds() {}

    /**
     * Returns the configuration with a move ended and its service at the version that the end leaves it with.
     *
     * <p>The generation stays as it is. If the move does not exist or has ended already, the configuration is
     * returned unchanged, so that the first end stands.
     *
     * @param configuration the configuration
     * @param move the move
     * @param end done or withdrawn
     * @param reason why
     */
    public static Configuration apply(Configuration configuration, MoveId move, MoveState end, String reason) {
        boolean open =
                configuration.moves().stream().anyMatch(m -> m.id().equals(move) && m.state() == MoveState.UNDER_WAY);
        if (!open || end == MoveState.UNDER_WAY) {
            return configuration;
        }
        List<VersionMove> moves = configuration.moves().stream()
                .map(m -> m.id().equals(move) ? m.ended(end, reason) : m)
                .toList();
        List<Service> services = configuration.services().stream()
                .map(s -> withEnd(s, moves, move, end))
                .toList();
        return configuration.withMoves(moves).withServices(services);
    }

    private static Service withEnd(Service service, List<VersionMove> moves, MoveId ended, MoveState end) {
        return moves.stream()
                .filter(m -> m.id().equals(ended) && m.service().equals(service.id()))
                .findFirst()
                .map(m -> service.withVersion(end == MoveState.DONE ? m.to() : m.from()))
                .orElse(service);
    }
}
