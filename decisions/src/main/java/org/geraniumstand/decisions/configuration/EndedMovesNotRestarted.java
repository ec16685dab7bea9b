package org.geraniumstand.decisions.configuration;

import java.util.List;
import java.util.Optional;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.ConfigurationFinding;
import org.geraniumstand.model.config.MoveState;
import org.geraniumstand.model.config.VersionMove;

/** Prevents a version move that has ended from being restarted under the same id. */
@Decision(
        name = "ended-moves-stay-ended",
        summary = "A version move that is done or withdrawn cannot be restarted; declare a new move with another id.")
public final class EndedMovesNotRestarted implements ConfigurationRule {
    @Override
    public List<ConfigurationFinding> check(Configuration next, CheckContext context) {
        Findings findings = new Findings();
        for (int i = 0; i < next.moves().size(); i++) {
            VersionMove move = next.moves().get(i);
            boolean ended = context.current()
                    .flatMap(current -> find(current, move))
                    .map(existing -> existing.state() != MoveState.UNDER_WAY)
                    .orElse(false);
            findings.errorIf(
                    ended && move.state() == MoveState.UNDER_WAY,
                    Findings.fieldPath("moves", i, "state"),
                    "move " + move.id() + " has ended and cannot be restarted; declare a new move with another id");
        }
        return findings.toList();
    }

    private static Optional<VersionMove> find(Configuration current, VersionMove move) {
        return current.moves().stream()
                .filter(existing -> existing.id().equals(move.id()))
                .findFirst();
    }
}
