package org.geraniumstand.decisions;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumstand.decisions.moves.MoveBoard;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.request.RequestFacts;
import org.geraniumstand.model.status.MoveStatus;
import org.geraniumstand.model.status.ServerStatus;
import org.geraniumstand.model.time.Moment;
import org.geraniumstand.model.timeline.EventKind;
import org.geraniumstand.model.timeline.Field;

/**
 * Takes all decisions of one process: observations go in, actions come out.
 *
 * <p>It has no clock, thread, socket or random source of its own, so that a test bench can drive it by observations
 * alone. It belongs to one thread.
 */
public final class TrafficController {
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final int MAX_ATTEMPTS = 3;

    private final Map<RequestId, InFlight> inFlight = new HashMap<>();
    private final Map<ServerId, Integer> load = new HashMap<>();
    private final Set<HostId> reclaimed = new HashSet<>();
    private final MoveBoard moves;
    private Optional<Configuration> configuration = Optional.empty();
    private List<BackendServer> fleet = List.of();
    private boolean stopping;

    private record InFlight(RequestFacts facts, int attempt, BackendServer server) {}

    /**
     * Creates the controller of a process.
     *
     * @param self the process
     */
    public TrafficController(ProcessId self) {
        this.moves = new MoveBoard(self);
    }

    /** Returns the configuration in force, if any. */
    public Optional<Configuration> configuration() {
        return configuration;
    }

    /** Returns what operators see of the state. */
    public TrafficStatus status() {
        Map<TeamId, Integer> teams = new HashMap<>();
        inFlight.values().forEach(flight -> teams.merge(flight.facts().team(), 1, Integer::sum));
        int streams = (int) inFlight.values().stream()
                .filter(flight -> flight.facts().streaming())
                .count();
        List<ServerStatus> servers = fleet.stream().map(this::status).toList();
        List<MoveStatus> declared = configuration.stream()
                .flatMap(c -> c.moves().stream())
                .map(move -> new MoveStatus(move, -1, 0, 0, 0, 0))
                .toList();
        return new TrafficStatus(inFlight.size(), streams, teams, servers, declared);
    }

    private ServerStatus status(BackendServer server) {
        boolean out = configuration
                .map(c -> c.dataCentresOut().contains(server.dataCentre()))
                .orElse(false);
        String state = server.leaving()
                ? "leaving"
                : reclaimed.contains(server.host()) ? "reclaimed" : out ? "data-centre-out" : "taking";
        return new ServerStatus(server, state, "unknown", -1, load.getOrDefault(server.id(), 0));
    }

    /**
     * Takes in an observation and returns what is to be done, in order.
     *
     * @param observation what was seen
     * @param now when it was seen
     */
    public List<Action> on(Observation observation, Moment now) {
        List<Action> actions = new ArrayList<>();
        if (observation instanceof Observation.ConfigurationAccepted accepted) {
            accept(accepted.configuration(), now, actions);
        } else if (observation instanceof Observation.FleetListed listed) {
            fleet = listed.servers();
            actions.addAll(moves.onFleet(fleet, now));
        } else if (observation instanceof Observation.ReclaimsNoticed noticed) {
            noticed.notices().forEach(notice -> reclaimed.add(notice.host()));
        } else if (observation instanceof Observation.RequestArrived arrived) {
            dispatch(arrived.request(), 1, Optional.empty(), now, actions);
        } else if (observation instanceof Observation.RequestAbandoned abandoned) {
            abandon(abandoned.request(), actions);
        } else if (observation instanceof Observation.AttemptEnded ended) {
            end(ended, now, actions);
        } else if (observation instanceof Observation.EvidenceReceived received) {
            actions.addAll(moves.onEvidence(received.rows(), now));
        } else if (observation instanceof Observation.BadMarksReceived received) {
            actions.addAll(moves.onBadMarks(received.marks(), now));
        } else if (observation instanceof Observation.Tick) {
            actions.addAll(moves.onTick(now));
        } else if (observation instanceof Observation.StopRequested) {
            stopping = true;
        }
        if (stopping && inFlight.isEmpty()) {
            actions.add(new Action.StopCompleted());
        }
        return actions;
    }

    private void accept(Configuration next, Moment now, List<Action> actions) {
        if (configuration.map(Configuration::generation).orElse(-1L) >= next.generation()) {
            return;
        }
        configuration = Optional.of(next);
        actions.addAll(moves.onConfiguration(next, now));
        actions.add(new Action.Note(
                EventKind.CONFIGURATION_IN_FORCE, "", List.of(Field.of("generation", next.generation()))));
    }

    private void dispatch(
            RequestFacts facts, int attempt, Optional<BackendServer> avoid, Moment now, List<Action> actions) {
        Optional<Service> service = configuration.flatMap(c -> c.service(facts.service()));
        Optional<BackendServer> server = service.flatMap(s -> choose(s, moves.versionsFor(facts, now), avoid));
        if (server.isEmpty() || now.nanos() >= facts.deadlineNanos()) {
            inFlight.remove(facts.id());
            actions.add(new Action.Refuse(facts.id(), Refusal.notRun(RefusalReason.NO_SERVER, RETRY_AFTER_MILLIS)));
            return;
        }
        BackendServer chosen = server.get();
        inFlight.put(facts.id(), new InFlight(facts, attempt, chosen));
        load.merge(chosen.id(), 1, Integer::sum);
        int silence = service.get().silenceMillis();
        Action.AttemptLimits limits = new Action.AttemptLimits(silence, silence, !facts.idempotent());
        Action.Transfer transfer = attempt == 1 ? Action.Transfer.NONE : Action.Transfer.RESUME;
        actions.add(new Action.Dispatch(facts.id(), attempt, chosen, limits, transfer));
    }

    private Optional<BackendServer> choose(Service service, List<VersionId> versions, Optional<BackendServer> avoid) {
        Set<DataCentreId> out = configuration.map(Configuration::dataCentresOut).orElseGet(Set::of);
        return fleet.stream()
                .filter(s -> s.service().equals(service.id()))
                .filter(s -> versions.contains(s.version()))
                .filter(s -> !s.leaving() && !reclaimed.contains(s.host()) && !out.contains(s.dataCentre()))
                .filter(s -> avoid.map(a -> !a.id().equals(s.id())).orElse(true))
                .min(Comparator.comparingInt(s -> load.getOrDefault(s.id(), 0)));
    }

    private void abandon(RequestId request, List<Action> actions) {
        InFlight flight = inFlight.remove(request);
        if (flight == null) {
            return;
        }
        release(flight.server());
        actions.add(new Action.CancelAttempt(request, flight.attempt()));
    }

    private void end(Observation.AttemptEnded ended, Moment now, List<Action> actions) {
        InFlight flight = inFlight.get(ended.request());
        if (flight == null || flight.attempt() != ended.attempt()) {
            return;
        }
        release(flight.server());
        actions.addAll(moves.onAttemptEnded(flight.facts(), flight.server(), ended.report(), now));
        AttemptEnd how = ended.report().end();
        if (how == AttemptEnd.ANSWERED) {
            inFlight.remove(ended.request());
            return;
        }
        boolean notRun = how == AttemptEnd.NOT_CONNECTED || how == AttemptEnd.DECLINED;
        if ((flight.facts().idempotent() || notRun) && flight.attempt() < MAX_ATTEMPTS) {
            dispatch(flight.facts(), flight.attempt() + 1, Optional.of(flight.server()), now, actions);
            return;
        }
        inFlight.remove(ended.request());
        RefusalReason reason = how == AttemptEnd.SILENT ? RefusalReason.SERVER_SILENT : RefusalReason.SERVER_FAILED;
        Refusal refusal = notRun ? Refusal.notRun(reason, RETRY_AFTER_MILLIS) : Refusal.unknown(reason);
        actions.add(new Action.Refuse(ended.request(), refusal));
    }

    private void release(BackendServer server) {
        load.merge(server.id(), -1, Integer::sum);
    }
}
