package org.geraniumstand.decisions.configuration;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.ConfigurationFinding;
import org.geraniumstand.model.config.MoveState;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.VersionMove;
import org.geraniumstand.model.id.ServiceId;

/** Requires each version move in progress to start from its service's current version and to have a valid deadline. */
@Decision(
        name = "moves-fit-services",
        summary = "A version move leads from the service's current version to a different one, has a deadline after its"
                + " start, and is the only move of its service in progress.")
public final class MovesMatchServices implements ConfigurationRule {
    private static final int MAX_PERCENT = 100;

    @Override
    public List<ConfigurationFinding> check(Configuration next, CheckContext context) {
        Findings findings = new Findings();
        Set<ServiceId> servicesWithMoveInProgress = new HashSet<>();
        for (int i = 0; i < next.moves().size(); i++) {
            VersionMove move = next.moves().get(i);
            if (move.state() != MoveState.UNDER_WAY) {
                continue;
            }
            checkVersions(findings, i, move, next.service(move.service()));
            checkTimes(findings, i, move, context);
            findings.errorIf(
                    !servicesWithMoveInProgress.add(move.service()),
                    Findings.fieldPath("moves", i, "service"),
                    "another move of " + move.service() + " is in progress; wait until it ends or withdraw it");
        }
        return findings.toList();
    }

    private static void checkVersions(Findings findings, int index, VersionMove move, Optional<Service> service) {
        findings.errorIf(
                service.isEmpty(),
                Findings.fieldPath("moves", index, "service"),
                "no service is named " + move.service());
        service.ifPresent(existing -> findings.errorIf(
                !existing.version().equals(move.from()),
                Findings.fieldPath("moves", index, "from"),
                "must be the service's current version " + existing.version() + ", but is " + move.from()));
        findings.errorIf(
                move.from().equals(move.to()),
                Findings.fieldPath("moves", index, "to"),
                "must differ from the version that the move starts from");
        findings.errorIf(
                move.firstSharePercent() < 1 || move.firstSharePercent() > MAX_PERCENT,
                Findings.fieldPath("moves", index, "firstSharePercent"),
                "must be between 1 and " + MAX_PERCENT + ", but is " + move.firstSharePercent());
    }

    private static void checkTimes(Findings findings, int index, VersionMove move, CheckContext context) {
        String path = Findings.fieldPath("moves", index, "deadlineEpochMillis");
        findings.errorIf(move.deadlineEpochMillis() <= move.startEpochMillis(), path, "must be after startEpochMillis");
        boolean declaredBefore = context.current()
                .map(c -> c.moves().stream().anyMatch(m -> m.id().equals(move.id())))
                .orElse(false);
        findings.errorIf(
                !declaredBefore && move.deadlineEpochMillis() <= context.nowEpochMillis(),
                path,
                "must be in the future when the move is declared");
    }
}
