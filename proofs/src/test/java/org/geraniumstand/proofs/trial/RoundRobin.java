package org.geraniumstand.proofs.trial;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.request.RequestInfo;
import org.geraniumstand.model.time.Timestamp;

/**
 * The baseline: round robin over the listed servers with a fixed limit for each, one line of waiting requests, and up to
 * three attempts of idempotent requests.
 */
final class RoundRobin implements Controller {
    private static final int MOST_ATTEMPTS = 3;

    private final int processes;
    private final Map<RequestId, Flight> flights = new HashMap<>();
    private final Map<ServerId, Integer> load = new HashMap<>();
    private final Deque<Flight> waiting = new ArrayDeque<>();
    private final Map<ServiceId, Integer> turns = new HashMap<>();
    private final Set<HostId> reclaimed = new HashSet<>();
    private Configuration configuration;
    private List<BackendServer> fleet = List.of();

    private static final class Flight {
        private final RequestInfo facts;
        private int attempt;
        private BackendServer server;

        Flight(RequestInfo facts) {
            this.facts = facts;
        }
    }

    RoundRobin(int processes) {
        this.processes = processes;
    }

    @Override
    public List<Action> on(Observation observation, Timestamp now) {
        List<Action> actions = new ArrayList<>();
        if (observation instanceof Observation.ConfigurationAccepted accepted) {
            configuration = accepted.configuration();
        } else if (observation instanceof Observation.ServersListed listed) {
            fleet = listed.servers();
        } else if (observation instanceof Observation.ReclaimNoticesRead noticed) {
            noticed.notices().forEach(n -> reclaimed.add(n.host()));
        } else if (observation instanceof Observation.RequestArrived arrived) {
            waiting.add(new Flight(arrived.request()));
        } else if (observation instanceof Observation.AttemptEnded ended) {
            end(ended, actions);
        }
        waiting.removeIf(f -> place(f, now, actions));
        return actions;
    }

    private boolean place(Flight flight, Timestamp now, List<Action> actions) {
        RequestInfo facts = flight.facts;
        if (now.nanos() >= facts.deadlineNanos()) {
            flights.remove(facts.id());
            actions.add(new Action.Refuse(facts.id(), Refusal.unknown(RefusalReason.DEADLINE)));
            return true;
        }
        Service service = configuration.service(facts.service()).orElseThrow();
        Optional<BackendServer> found = next(service, flight);
        if (found.isEmpty()) {
            return false;
        }
        flight.server = found.get();
        flight.attempt++;
        flights.put(facts.id(), flight);
        load.merge(flight.server.id(), 1, Integer::sum);
        Action.Transfer transfer = flight.attempt == 1 ? Action.Transfer.NONE : Action.Transfer.RESUME;
        int silence = service.silenceMillis();
        actions.add(new Action.Dispatch(
                facts.id(),
                flight.attempt,
                flight.server,
                new Action.AttemptLimits(silence, silence, !facts.idempotent()),
                transfer));
        return true;
    }

    private Optional<BackendServer> next(Service service, Flight flight) {
        Set<DataCentreId> out = configuration.dataCentresOut();
        List<BackendServer> usable = fleet.stream()
                .filter(s -> s.service().equals(service.id()) && s.version().equals(service.version()))
                .filter(s -> !s.leaving() && !reclaimed.contains(s.host()) && !out.contains(s.dataCentre()))
                .toList();
        int limit = (service.maxConcurrency() + processes - 1) / processes;
        for (int i = 0; i < usable.size(); i++) {
            int turn = turns.merge(service.id(), 1, Integer::sum);
            BackendServer server = usable.get(turn % usable.size());
            if (load.getOrDefault(server.id(), 0) < limit && !server.equals(flight.server)) {
                return Optional.of(server);
            }
        }
        return Optional.empty();
    }

    private void end(Observation.AttemptEnded ended, List<Action> actions) {
        Flight flight = flights.get(ended.request());
        if (flight == null || flight.attempt != ended.attempt()) {
            return;
        }
        load.merge(flight.server.id(), -1, Integer::sum);
        AttemptEnd end = ended.report().end();
        if (end == AttemptEnd.ANSWERED) {
            flights.remove(ended.request());
            return;
        }
        boolean notRun = end == AttemptEnd.NOT_CONNECTED || end == AttemptEnd.DECLINED;
        if ((flight.facts.idempotent() || notRun) && flight.attempt < MOST_ATTEMPTS) {
            waiting.addFirst(flight);
            return;
        }
        flights.remove(ended.request());
        actions.add(new Action.Refuse(ended.request(), Refusal.unknown(RefusalReason.SERVER_FAILED)));
    }
}
