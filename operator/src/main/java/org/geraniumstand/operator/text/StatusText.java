package org.geraniumstand.operator.text;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.status.DataCentreStatus;
import org.geraniumstand.model.status.MemberStatus;
import org.geraniumstand.model.status.MoveStatus;
import org.geraniumstand.model.status.ServerStatus;
import org.geraniumstand.model.status.StatusReport;
import org.geraniumstand.model.status.TeamStatus;
import org.geraniumstand.operator.client.ProcessStatuses;

/** Formats the status as text, with sums over all entry processes that responded. */
public final class StatusText {
    private final List<String> lines = new ArrayList<>();
    private final List<StatusReport> reports;
    private final StatusReport newest;
    private final Map<ProcessId, Long> generations;

    private StatusText(ProcessStatuses processStatuses) {
        this.reports = processStatuses.reports().values().stream()
                .sorted(Comparator.comparing(report -> report.process().value()))
                .toList();
        this.newest = reports.stream()
                .max(Comparator.comparingLong(StatusReport::generation))
                .orElseThrow();
        this.generations = processStatuses.generations();
    }

    /**
     * Formats the status of the entry processes.
     *
     * @param processStatuses the status reports, at least one
     */
    public static String of(ProcessStatuses processStatuses) {
        StatusText text = new StatusText(processStatuses);
        text.addConfiguration();
        text.addMembers();
        text.addDataCentres();
        text.addServers();
        text.addMoves();
        text.addTeams();
        return String.join("\n", text.lines);
    }

    /**
     * Formats the status of a version move as one line.
     *
     * @param status the status of the version move
     */
    public static String move(MoveStatus status) {
        String share = status.sharePercent() < 0
                ? "share unknown"
                : String.format(Locale.ROOT, "share %.1f %%", status.sharePercent());
        String reason =
                status.move().reason().isEmpty() ? "" : " (" + status.move().reason() + ")";
        return status.move().id() + "  " + status.move().service() + " "
                + status.move().from() + " -> "
                + status.move().to() + "  "
                + status.move().state().name().toLowerCase(Locale.ROOT).replace('_', ' ') + reason + "  " + share
                + "  deadline " + Instant.ofEpochMilli(status.move().deadlineEpochMillis()) + "  old "
                + status.oldRequests() + " requests, " + status.oldFailures() + " failed; new " + status.newRequests()
                + " requests, " + status.newFailures() + " failed";
    }

    private void addConfiguration() {
        lines.add("configuration  generation " + newest.generation() + ", preset "
                + (newest.presetInForce().isEmpty() ? "none" : newest.presetInForce()));
    }

    private void addMembers() {
        lines.add("members");
        Map<ProcessId, MemberStatus> statuses = new TreeMap<>();
        reports.forEach(
                report -> report.members().forEach(m -> statuses.put(m.member().id(), m)));
        statuses.forEach((id, status) -> lines.add("  " + member(id, status)));
    }

    private String member(ProcessId id, MemberStatus status) {
        Member member = status.member();
        String line = TimelineText.pad(id.value(), 20) + "  " + member.dataCentre() + "  generation "
                + generations.getOrDefault(id, status.generation());
        return reports.stream()
                .filter(report -> report.process().equals(id))
                .findFirst()
                .map(report -> line + (report.ready() ? "  ready" : "  not ready")
                        + (report.stopping() ? "  stopping" : "") + "  store " + report.storeState() + "  streams "
                        + report.streams())
                .orElseGet(
                        () -> line + "  did not respond; last confirmed " + status.confirmationAgeMillis() + " ms ago");
    }

    private void addDataCentres() {
        lines.add("data centres");
        for (DataCentreStatus status : newest.dataCentres()) {
            int inFlight = reports.stream()
                    .flatMap(report -> report.dataCentres().stream())
                    .filter(other -> other.dataCentre().equals(status.dataCentre()))
                    .mapToInt(DataCentreStatus::inFlight)
                    .sum();
            lines.add("  " + TimelineText.pad(status.dataCentre().value(), 14) + (status.out() ? "  OUT" : "  in ")
                    + "  " + status.servers() + " servers, " + inFlight + " requests in flight");
        }
    }

    private void addServers() {
        lines.add("backend servers");
        newest.servers().stream()
                .sorted(Comparator.comparing(status -> status.server().id().value()))
                .forEach(status -> lines.add("  " + server(status)));
    }

    private String server(ServerStatus status) {
        List<ServerStatus> statuses = reports.stream()
                .flatMap(report -> report.servers().stream())
                .filter(other -> other.server().id().equals(status.server().id()))
                .toList();
        int inFlight = statuses.stream().mapToInt(ServerStatus::inFlight).sum();
        int budget = statuses.stream().mapToInt(s -> Math.max(0, s.budget())).sum();
        return TimelineText.pad(status.server().id().value(), 16) + "  "
                + status.server().service() + " "
                + status.server().version() + "  " + status.server().dataCentre() + "  " + status.state() + "  "
                + status.warmth() + "  in flight " + inFlight
                + (status.budget() < 0 ? "" : " of " + budget);
    }

    private void addMoves() {
        if (!newest.moves().isEmpty()) {
            lines.add("version moves");
            newest.moves().forEach(status -> lines.add("  " + move(status)));
        }
    }

    private void addTeams() {
        lines.add("teams");
        for (TeamStatus team : newest.teams()) {
            List<TeamStatus> statuses = reports.stream()
                    .flatMap(report -> report.teams().stream())
                    .filter(other -> other.team().equals(team.team()))
                    .toList();
            lines.add("  " + TimelineText.pad(team.team().value(), 14) + "  weight " + team.weight() + "  in flight "
                    + statuses.stream().mapToInt(TeamStatus::inFlight).sum() + "  answered "
                    + statuses.stream().mapToLong(TeamStatus::answered).sum() + "  refused "
                    + statuses.stream().mapToLong(TeamStatus::refused).sum());
        }
    }
}
