package org.geraniumstand.decisions.flow;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.DecisionSummaries;
import org.geraniumstand.decisions.Hash;
import org.geraniumstand.decisions.admission.FairQueue;
import org.geraniumstand.decisions.admission.Feasibility;
import org.geraniumstand.decisions.admission.SharePacing;
import org.geraniumstand.decisions.limits.ConcurrencyLimits;
import org.geraniumstand.decisions.request.InFlightRequest;
import org.geraniumstand.decisions.routing.LatencyModel;
import org.geraniumstand.decisions.routing.ServerState;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.request.RequestInfo;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.model.timeline.EventKind;
import org.geraniumstand.model.timeline.Field;

/**
 * Admits requests, queues them until a server has spare concurrency, and refuses those that would miss their deadline.
 */
public final class AdmissionController {
    private static final long MIN_RETRY_AFTER_MILLIS = 1_000;
    private static final long MAX_RETRY_AFTER_MILLIS = 30_000;
    private static final int MAX_DEMANDING_REQUESTS = 64;
    private static final long ALTERNATIVE_AFTER_MILLIS = 8;
    private static final long ALTERNATIVE_INTERVAL_MILLIS = 50;

    private final DecisionContext context;
    private final AttemptDispatcher dispatcher;

    /**
     * Creates the admission controller of a process.
     *
     * @param context state shared by the decisions of the process
     * @param dispatcher dispatches attempts
     */
    public AdmissionController(DecisionContext context, AttemptDispatcher dispatcher) {
        this.context = context;
        this.dispatcher = dispatcher;
    }

    /**
     * Admits or refuses an arriving request.
     *
     * @param info the request
     * @param acceptsNewWork whether the process accepts new work
     * @param now the current time
     * @param actions receives the resulting actions
     */
    public void onArrival(RequestInfo info, boolean acceptsNewWork, Timestamp now, List<Action> actions) {
        if (!acceptsNewWork) {
            refuse(info, RefusalReason.STOPPING, 0, actions);
            return;
        }
        if (context.service(info.service()).isEmpty() || !dispatcher.hasUsableServer(info, now)) {
            refuse(info, RefusalReason.NO_SERVER, 0, actions);
            return;
        }
        ServiceState service = context.serviceState(info.service());
        double waitMillis = service.waitEstimator().millis(service.queue().requestsAhead(info, context::weight), now);
        if (!meetsDeadline(info, waitMillis, now)
                || !Feasibility.nearTarget(info, waitMillis, context.targets().firstTokenMillis(), now)) {
            refuse(info, RefusalReason.DEADLINE, waitMillis, actions);
            return;
        }
        InFlightRequest request = new InFlightRequest(info, now);
        if (service.queue().isEmpty()) {
            service.waitEstimator().onQueueStart(now);
        }
        if (!service.queue().add(request)) {
            refuse(info, RefusalReason.OVER_SHARE, waitMillis, actions);
            return;
        }
        context.requests().put(info.id(), request);
        dispatchWaiting(info.service(), now, actions);
    }

    private boolean meetsDeadline(RequestInfo info, double waitMillis, Timestamp now) {
        List<ServerState> servers = dispatcher.usableServers(info, now);
        if (servers.isEmpty()) {
            return info.deadlineNanos() > now.nanos();
        }
        LatencyModel latencyModel = servers.get(0).latencyModel();
        boolean plain = info.promptTokens() == 0;
        double firstTokenMillis = plain ? latencyModel.betweenTokensMillis(1) : latencyModel.firstTokenMillis(0);
        double betweenTokensMillis = plain ? 0 : latencyModel.betweenTokensMillis(1);
        return Feasibility.meetsDeadline(info, waitMillis, firstTokenMillis, betweenTokensMillis, now);
    }

    private static void refuse(RequestInfo info, RefusalReason reason, double waitMillis, List<Action> actions) {
        long retryAfterMillis =
                Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, Math.round(waitMillis)));
        refuse(info, Refusal.notRun(reason, retryAfterMillis), actions);
    }

    /**
     * Refuses a request and records the refusal on the timeline.
     *
     * @param info the request
     * @param refusal the final response
     * @param actions receives the resulting actions
     */
    static void refuse(RequestInfo info, Refusal refusal, List<Action> actions) {
        actions.add(new Action.Refuse(info.id(), refusal));
        actions.add(new Action.RecordEvent(
                EventKind.REQUEST_REFUSED,
                refusal.reason() == RefusalReason.DEADLINE
                        ? DecisionSummaries.of(Feasibility.class)
                        : refusal.reason().summary(),
                List.of(
                        Field.of("request", info.id()),
                        Field.of("team", info.team()),
                        Field.of("reason", refusal.reason().text()),
                        Field.of("outcome", refusal.outcome().text()))));
    }

    /**
     * Dispatches the waiting requests of a service for as long as servers have spare concurrency.
     *
     * @param serviceId the service
     * @param now the current time
     * @param actions receives the resulting actions
     */
    public void dispatchWaiting(ServiceId serviceId, Timestamp now, List<Action> actions) {
        ServiceState service = context.serviceState(serviceId);
        FairQueue queue = service.queue();
        if (queue.isEmpty()) {
            return;
        }
        queue.dispatchAll(context::weight, request -> {
            if (isThrottled(request) || !dispatcher.tryDispatch(request, now, actions)) {
                return false;
            }
            service.waitEstimator().onDispatch(now.nanos() > request.arrivedAt().nanos(), now);
            return true;
        });
        if (!queue.isEmpty()) {
            actions.addAll(context.limits().onShortage(waitingRequests(now)));
        }
    }

    private boolean isThrottled(InFlightRequest request) {
        return request.attempt() == 0
                && SharePacing.throttles(request.info(), context.requests().values(), context::weight);
    }

    /**
     * Counts the waiting requests by the servers that they could be sent to, to determine the demand of this process.
     *
     * @param now the current time
     */
    public ConcurrencyLimits.WaitingRequests waitingRequests(Timestamp now) {
        Map<ServerId, Integer> countByServer = new HashMap<>();
        for (ServiceState service : context.serviceStates().values()) {
            for (InFlightRequest request : service.queue().sample(MAX_DEMANDING_REQUESTS)) {
                dispatcher.preferredServer(request, now).ifPresent(preferred -> count(preferred, countByServer));
                boolean needsAlternative = now.millisSince(request.arrivedAt()) >= ALTERNATIVE_AFTER_MILLIS;
                if (needsAlternative
                        && !dispatcher.usableServers(request.info(), now).isEmpty()) {
                    count(alternativeServer(request.info(), now), countByServer);
                }
            }
        }
        return state -> countByServer.getOrDefault(state.server().id(), 0);
    }

    private static void count(ServerState state, Map<ServerId, Integer> countByServer) {
        countByServer.merge(state.server().id(), 1, Integer::sum);
    }

    /**
     * Returns a further server to demand concurrency at, because the preferred server may have none left. The server
     * changes in rotation.
     */
    private ServerState alternativeServer(RequestInfo info, Timestamp now) {
        List<ServerState> servers = dispatcher.usableServers(info, now);
        long interval = now.nanos() / Timestamp.NANOS_PER_MILLI / ALTERNATIVE_INTERVAL_MILLIS;
        return servers.get(Hash.modulo(Hash.of(info.id().value()) + interval, servers.size()));
    }

    /**
     * Refuses waiting requests that can no longer meet their deadline, and dispatches the others if possible.
     *
     * @param now the current time
     * @param actions receives the resulting actions
     */
    public void onTick(Timestamp now, List<Action> actions) {
        for (Map.Entry<ServiceId, ServiceState> entry : context.serviceStates().entrySet()) {
            ServiceState service = entry.getValue();
            if (service.queue().isEmpty()) {
                continue;
            }
            double waitMillis = service.waitEstimator().millis(1, now);
            List<InFlightRequest> late = service.queue().removeIf(r -> missesDeadline(r, waitMillis, now));
            late.forEach(r -> refuseLate(r, waitMillis, actions));
            dispatchWaiting(entry.getKey(), now, actions);
        }
    }

    private boolean missesDeadline(InFlightRequest request, double waitMillis, Timestamp now) {
        RequestInfo info = request.info();
        if (request.attempt() > 0) {
            return now.nanos() >= info.deadlineNanos();
        }
        return !meetsDeadline(info, waitMillis, now);
    }

    private void refuseLate(InFlightRequest request, double waitMillis, List<Action> actions) {
        context.requests().remove(request.info().id());
        if (request.mayHaveRun()) {
            refuse(request.info(), Refusal.unknown(RefusalReason.DEADLINE), actions);
            return;
        }
        refuse(request.info(), RefusalReason.DEADLINE, waitMillis, actions);
    }

    /**
     * Removes a waiting request whose caller has disconnected.
     *
     * @param request the request
     */
    void remove(InFlightRequest request) {
        Optional.ofNullable(context.serviceStates().get(request.info().service()))
                .ifPresent(service -> service.queue().removeIf(r -> r == request));
    }
}
