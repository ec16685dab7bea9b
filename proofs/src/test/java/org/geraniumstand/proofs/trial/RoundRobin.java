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
 * Implements the baseline: round robin over the listed servers with a fixed concurrency limit for each, one queue of
 * waiting requests, and up to three attempts of idempotent requests.
 */
final class RoundRobin implements Controller {
    private static final int MAX_ATTEMPTS = 3;

    private final int processes;
    private final Map<RequestId, PendingRequest> pendingRequests = new HashMap<>();
    private final Map<ServerId, Integer> load = new HashMap<>();
    private final Deque<PendingRequest> waiting = new ArrayDeque<>();
    private final Map<ServiceId, Integer> nextIndexes = new HashMap<>();
    private final Set<HostId> reclaimed = new HashSet<>();
    private Configuration configuration;
    private List<BackendServer> fleet = List.of();

    private static final class PendingRequest {
        private final RequestInfo requestInfo;
        private int attempt;
        private BackendServer server;

        PendingRequest(RequestInfo requestInfo) {
            this.requestInfo = requestInfo;
        }
    }

    RoundRobin(int processes) {
        this.processes = processes;
    }

    @Override
    public List<Action> handle(Observation observation, Timestamp now) {
        List<Action> actions = new ArrayList<>();
        if (observation instanceof Observation.ConfigurationAccepted accepted) {
            configuration = accepted.configuration();
        } else if (observation instanceof Observation.ServersListed listed) {
            fleet = listed.servers();
        } else if (observation instanceof Observation.ReclaimNoticesRead noticed) {
            noticed.notices().forEach(n -> reclaimed.add(n.host()));
        } else if (observation instanceof Observation.RequestArrived arrived) {
            waiting.add(new PendingRequest(arrived.request()));
        } else if (observation instanceof Observation.AttemptEnded ended) {
            end(ended, actions);
        }
        waiting.removeIf(f -> tryDispatch(f, now, actions));
        return actions;
    }

    private boolean tryDispatch(PendingRequest pending, Timestamp now, List<Action> actions) {
        RequestInfo requestInfo = pending.requestInfo;
        if (now.nanos() >= requestInfo.deadlineNanos()) {
            pendingRequests.remove(requestInfo.id());
            actions.add(new Action.Refuse(requestInfo.id(), Refusal.unknown(RefusalReason.DEADLINE)));
            return true;
        }
        Service service = configuration.service(requestInfo.service()).orElseThrow();
        Optional<BackendServer> found = next(service, pending);
        if (found.isEmpty()) {
            return false;
        }
        pending.server = found.get();
        pending.attempt++;
        pendingRequests.put(requestInfo.id(), pending);
        load.merge(pending.server.id(), 1, Integer::sum);
        Action.Transfer transfer = pending.attempt == 1 ? Action.Transfer.NONE : Action.Transfer.RESUME;
        int responseTimeoutMillis = service.silenceMillis();
        actions.add(new Action.Dispatch(
                requestInfo.id(),
                pending.attempt,
                pending.server,
                new Action.AttemptLimits(responseTimeoutMillis, responseTimeoutMillis, !requestInfo.idempotent()),
                transfer));
        return true;
    }

    private Optional<BackendServer> next(Service service, PendingRequest pending) {
        Set<DataCentreId> out = configuration.dataCentresOut();
        List<BackendServer> usable = fleet.stream()
                .filter(s -> s.service().equals(service.id()) && s.version().equals(service.version()))
                .filter(s -> !s.leaving() && !reclaimed.contains(s.host()) && !out.contains(s.dataCentre()))
                .toList();
        int limit = (service.maxConcurrency() + processes - 1) / processes;
        for (int i = 0; i < usable.size(); i++) {
            int index = nextIndexes.merge(service.id(), 1, Integer::sum);
            BackendServer server = usable.get(index % usable.size());
            if (load.getOrDefault(server.id(), 0) < limit && !server.equals(pending.server)) {
                return Optional.of(server);
            }
        }
        return Optional.empty();
    }

    private void end(Observation.AttemptEnded ended, List<Action> actions) {
        PendingRequest pending = pendingRequests.get(ended.request());
        if (pending == null || pending.attempt != ended.attempt()) {
            return;
        }
        load.merge(pending.server.id(), -1, Integer::sum);
        AttemptEnd end = ended.report().end();
        if (end == AttemptEnd.ANSWERED) {
            pendingRequests.remove(ended.request());
            return;
        }
        boolean notRun = end == AttemptEnd.NOT_CONNECTED || end == AttemptEnd.DECLINED;
        if ((pending.requestInfo.idempotent() || notRun) && pending.attempt < MAX_ATTEMPTS) {
            waiting.addFirst(pending);
            return;
        }
        pendingRequests.remove(ended.request());
        actions.add(new Action.Refuse(ended.request(), Refusal.unknown(RefusalReason.SERVER_FAILED)));
    }
}
