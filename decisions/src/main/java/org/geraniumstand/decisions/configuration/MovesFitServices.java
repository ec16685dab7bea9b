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

/** Requires a version move under way to start from the version that has the traffic and to end in time. */
@Decision(
        name = "moves-fit-services",
        summary = "A version move starts from the service's version, ends at another one by a later deadline, and is"
                + " the only one of its service under way.")
public final class MovesFitServices implements ConfigurationRule {
    private static final int MAX_PERCENT = 100;

    @Override
    public List<ConfigurationFinding> check(Configuration next, CheckContext context) {
        Findings findings = new Findings();
        Set<ServiceId> moving = new HashSet<>();
        for (int i = 0; i < next.moves().size(); i++) {
            VersionMove move = next.moves().get(i);
            if (move.state() != MoveState.UNDER_WAY) {
                continue;
            }
            checkVersions(findings, i, move, next.service(move.service()));
            checkTimes(findings, i, move, context);
            findings.errorIf(
                    !moving.add(move.service()),
                    Findings.entry("moves", i, "service"),
                    "another move of " + move.service() + " is under way; wait for its end or withdraw it");
        }
        return findings.list();
    }

    private static void checkVersions(Findings findings, int index, VersionMove move, Optional<Service> service) {
        findings.errorIf(
                service.isEmpty(), Findings.entry("moves", index, "service"), "no service is named " + move.service());
        service.ifPresent(found -> findings.errorIf(
                !found.version().equals(move.from()),
                Findings.entry("moves", index, "from"),
                "must be the service's version, " + found.version() + ", is " + move.from()));
        findings.errorIf(
                move.from().equals(move.to()),
                Findings.entry("moves", index, "to"),
                "must differ from the version that has the traffic");
        findings.errorIf(
                move.firstSharePercent() < 1 || move.firstSharePercent() > MAX_PERCENT,
                Findings.entry("moves", index, "firstSharePercent"),
                "must be 1 to " + MAX_PERCENT + ", is " + move.firstSharePercent());
    }

    private static void checkTimes(Findings findings, int index, VersionMove move, CheckContext context) {
        String path = Findings.entry("moves", index, "deadlineEpochMillis");
        findings.errorIf(
                move.deadlineEpochMillis() <= move.startEpochMillis(), path, "must lie after startEpochMillis");
        boolean known = context.current()
                .map(c -> c.moves().stream().anyMatch(m -> m.id().equals(move.id())))
                .orElse(false);
        findings.errorIf(
                !known && move.deadlineEpochMillis() <= context.nowEpochMillis(),
                path,
                "must lie in the future when the move is declared");
    }
}
