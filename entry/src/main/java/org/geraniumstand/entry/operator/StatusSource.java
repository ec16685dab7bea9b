package org.geraniumstand.entry.operator;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.geraniumstand.decisions.TrafficController;
import org.geraniumstand.decisions.TrafficStatus;
import org.geraniumstand.entry.core.Core;
import org.geraniumstand.entry.metrics.ObservedStore;
import org.geraniumstand.entry.metrics.TrafficMetrics;
import org.geraniumstand.entry.metrics.TrafficMetrics.TeamTotals;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.HostPool;
import org.geraniumstand.model.config.Team;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.status.DataCentreStatus;
import org.geraniumstand.model.status.ServerStatus;
import org.geraniumstand.model.status.StatusReport;
import org.geraniumstand.model.status.TeamStatus;

/** Reads the status of a process; the traffic controller's part is read on the core's thread. */
public final class StatusSource {
    private final ProcessId self;
    private final DataCentreId dataCentre;
    private final Core core;
    private final TrafficMetrics traffic;
    private final MembersView members;
    private final BooleanSupplier ready;
    private final BooleanSupplier stopping;
    private final ObservedStore store;

    private record Reading(
            Optional<Configuration> configuration, TrafficStatus traffic, Map<TeamId, TeamTotals> teams) {}

    /**
     * Creates a source.
     *
     * @param self ID of the process
     * @param dataCentre data centre of the process
     * @param core owns the traffic controller
     * @param traffic counts requests by team, on the core's thread
     * @param members returns the live members
     * @param ready returns whether the load balancer may send requests
     * @param stopping returns whether the process is shutting down
     * @param store the platform's store
     */
    public StatusSource(
            ProcessId self,
            DataCentreId dataCentre,
            Core core,
            TrafficMetrics traffic,
            MembersView members,
            BooleanSupplier ready,
            BooleanSupplier stopping,
            ObservedStore store) {
        this.self = self;
        this.dataCentre = dataCentre;
        this.core = core;
        this.traffic = traffic;
        this.members = members;
        this.ready = ready;
        this.stopping = stopping;
        this.store = store;
    }

    /** Returns the status, which is read on the core's thread. */
    public CompletableFuture<StatusReport> read() {
        return core.query(this::read).thenApply(this::report);
    }

    private Reading read(TrafficController controller) {
        return new Reading(controller.configuration(), controller.status(), traffic.teams());
    }

    private StatusReport report(Reading reading) {
        Optional<Configuration> configuration = reading.configuration();
        return new StatusReport(
                self,
                dataCentre,
                ready.getAsBoolean(),
                stopping.getAsBoolean(),
                configuration.map(Configuration::generation).orElse(-1L),
                configuration.map(c -> c.presetInForce().value()).orElse(""),
                store.state().name().toLowerCase(Locale.ROOT),
                reading.traffic().streams(),
                members.members(),
                reading.traffic().servers(),
                reading.traffic().moves(),
                dataCentres(configuration, reading.traffic().servers()),
                configuration.map(c -> teams(c, reading)).orElseGet(List::of));
    }

    private static List<DataCentreStatus> dataCentres(
            Optional<Configuration> configuration, List<ServerStatus> servers) {
        Set<DataCentreId> known = new TreeSet<>();
        Set<DataCentreId> out = configuration.map(Configuration::dataCentresOut).orElseGet(Set::of);
        known.addAll(out);
        configuration.ifPresent(
                c -> c.pools().stream().map(HostPool::dataCentre).forEach(known::add));
        servers.forEach(s -> known.add(s.server().dataCentre()));
        return known.stream()
                .map(id -> dataCentre(
                        id,
                        out.contains(id),
                        servers.stream()
                                .filter(s -> s.server().dataCentre().equals(id))
                                .toList()))
                .toList();
    }

    private static DataCentreStatus dataCentre(DataCentreId id, boolean out, List<ServerStatus> servers) {
        int inFlight = servers.stream().mapToInt(ServerStatus::inFlight).sum();
        return new DataCentreStatus(id, out, servers.size(), inFlight);
    }

    private static List<TeamStatus> teams(Configuration configuration, Reading reading) {
        return configuration.teams().stream().map(team -> team(team, reading)).toList();
    }

    private static TeamStatus team(Team team, Reading reading) {
        TeamTotals totals = reading.teams().getOrDefault(team.id(), TeamTotals.NONE);
        int inFlight = reading.traffic().teamInFlight().getOrDefault(team.id(), 0);
        return new TeamStatus(team.id(), team.weight(), inFlight, totals.answered(), totals.refused());
    }
}
