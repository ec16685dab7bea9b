package org.geraniumstand.decisions.configuration;

import java.util.List;
import java.util.Optional;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.ConfigurationFinding;
import org.geraniumstand.model.config.MoveState;
import org.geraniumstand.model.config.VersionMove;

/** Keeps a version move that has ended from starting again under the same id. */
@Decision(
        name = "ended-moves-stay-ended",
        summary = "A move that is done or withdrawn does not start again; declare a new one under another id.")
public final class EndedMovesStayEnded implements ConfigurationRule {
    @Override
    public List<ConfigurationFinding> check(Configuration next, CheckContext context) {
        Findings findings = new Findings();
        for (int i = 0; i < next.moves().size(); i++) {
            VersionMove move = next.moves().get(i);
            boolean ended = context.current()
                    .flatMap(current -> find(current, move))
                    .map(known -> known.state() != MoveState.UNDER_WAY)
                    .orElse(false);
            findings.errorIf(
                    ended && move.state() == MoveState.UNDER_WAY,
                    Findings.entry("moves", i, "state"),
                    "move " + move.id() + " has ended; declare a new one under another id");
        }
        return findings.list();
    }

    private static Optional<VersionMove> find(Configuration current, VersionMove move) {
        return current.moves().stream()
                .filter(known -> known.id().equals(move.id()))
                .findFirst();
    }
}
