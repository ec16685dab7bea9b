package org.geraniumstand.decisions.flow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.DecisionSummaries;
import org.geraniumstand.decisions.reclaim.TransferChoice;
import org.geraniumstand.decisions.request.InFlightRequest;
import org.geraniumstand.decisions.routing.ServerCapacity;
import org.geraniumstand.decisions.routing.ServerSelector;
import org.geraniumstand.decisions.routing.ServerState;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.request.RequestInfo;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.model.timeline.EventKind;
import org.geraniumstand.model.timeline.Field;

/** Selects servers for requests and dispatches attempts to them. */
public final class AttemptDispatcher {
    private static final long MAX_GRANT_WAIT_MILLIS = 3;
    private static final double GRANT_WAIT_COST_RATIO = 1.5;

    private final DecisionContext context;
    private final ServerCapacity assumedCapacity;

    /**
     * Creates the dispatcher of a process.
     *
     * @param context state shared by the decisions of the process
     */
    public AttemptDispatcher(DecisionContext context) {
        this.context = context;
        this.assumedCapacity = new AssumedCapacity(context.limits());
    }

    /**
     * Dispatches the next attempt of a waiting request if a server has spare concurrency.
     *
     * @param request the request
     * @param now the current time
     * @param actions receives the resulting actions
     * @return whether an attempt was dispatched
     */
    public boolean tryDispatch(InFlightRequest request, Timestamp now, List<Action> actions) {
        Optional<Service> service = context.service(request.info().service());
        Optional<ServerState> selected = service.flatMap(s -> select(request, s, request.failedServers(), now));
        if (selected.isEmpty() || awaitsGrant(request, service.get(), selected.get(), now)) {
            return false;
        }
        Action.Transfer transfer = request.attempt() == 0 ? Action.Transfer.NONE : Action.Transfer.RESUME;
        dispatch(request, service.get(), selected.get(), transfer, now, actions);
        return true;
    }

    /**
     * Migrates a request in progress to another server, if one has spare concurrency.
     *
     * @param request the request
     * @param now the current time
     * @param actions receives the resulting actions
     * @return the server that the request was migrated to, or empty if it was not migrated
     */
    public Optional<ServerId> migrate(InFlightRequest request, Timestamp now, List<Action> actions) {
        Optional<Service> service = context.service(request.info().service());
        ServerState source = request.server();
        Optional<ServerState> selected =
                service.flatMap(s -> select(request, s, Set.of(source.server().id()), now));
        if (selected.isEmpty() || selected.get() == source) {
            return Optional.empty();
        }
        ServerState target = selected.get();
        double uncachedTokens = context.serverSelector().uncachedTokens(request.info(), target, now) + request.tokens();
        Action.Transfer transfer = TransferChoice.select(
                request.started(), request.contextTokens(), uncachedTokens, target.latencyModel());
        request.endAttempt(true);
        dispatch(request, service.get(), target, transfer, now, actions);
        actions.add(new Action.RecordEvent(
                EventKind.STREAM_MOVED,
                DecisionSummaries.of(TransferChoice.class),
                List.of(
                        Field.of("request", request.info().id()),
                        Field.of("from", source.server().id()),
                        Field.of("to", target.server().id()),
                        Field.of("transfer", transfer))));
        return Optional.of(target.server().id());
    }

    private Optional<ServerState> select(InFlightRequest request, Service service, Set<ServerId> avoid, Timestamp now) {
        return context.serverSelector().select(query(request, service, avoid, now), context.limits(), now);
    }

    private ServerSelector.Query query(InFlightRequest request, Service service, Set<ServerId> avoid, Timestamp now) {
        List<VersionId> versions = context.moves().versionsFor(request.info(), now);
        return new ServerSelector.Query(request.info(), service, versions, avoid, context.targets());
    }

    /**
     * Returns the server that would be selected for a request if this process had spare concurrency at all servers.
     *
     * @param request the request
     * @param now the current time
     */
    Optional<ServerState> preferredServer(InFlightRequest request, Timestamp now) {
        return context.service(request.info().service())
                .flatMap(s -> context.serverSelector()
                        .select(query(request, s, request.failedServers(), now), assumedCapacity, now));
    }

    /**
     * Returns whether a request waits for a grant of its preferred server instead of using the selected one.
     *
     * <p>A server's owner replies within a few milliseconds, so a grant for a much cheaper server is awaited before a
     * more expensive one is used.
     */
    private boolean awaitsGrant(InFlightRequest request, Service service, ServerState selected, Timestamp now) {
        if (now.millisSince(request.arrivedAt()) >= MAX_GRANT_WAIT_MILLIS || request.attempt() > 0) {
            return false;
        }
        Optional<ServerState> preferred = preferredServer(request, now);
        if (preferred.isEmpty() || preferred.get() == selected) {
            return false;
        }
        ServerSelector.Query query = query(request, service, request.failedServers(), now);
        return context.serverSelector().costRatio(preferred.get(), selected, query, assumedCapacity, now)
                > GRANT_WAIT_COST_RATIO;
    }

    private void dispatch(
            InFlightRequest request,
            Service service,
            ServerState server,
            Action.Transfer transfer,
            Timestamp now,
            List<Action> actions) {
        RequestInfo info = request.info();
        boolean copiesCache = transfer == Action.Transfer.KV_CACHE;
        double tokensToCompute =
                copiesCache ? 0 : context.serverSelector().uncachedTokens(info, server, now) + request.tokens();
        request.dispatch(server, tokensToCompute, now);
        long nowMillis = now.nanos() / Timestamp.NANOS_PER_MILLI;
        context.prefixes().recordStored(server.index(), info.prefixBlocks(), nowMillis);
        boolean slowStart = request.attempt() > 1 || !context.limits().warm(server);
        Action.AttemptLimits limits =
                context.serviceState(service.id()).idleTimeouts().attemptLimits(service, info.idempotent(), slowStart);
        actions.add(new Action.Dispatch(info.id(), request.attempt(), server.server(), limits, transfer));
    }

    /**
     * Returns whether any server of the versions that may serve a request is usable.
     *
     * @param info the request
     * @param now the current time
     */
    boolean hasUsableServer(RequestInfo info, Timestamp now) {
        for (VersionId version : context.moves().versionsFor(info, now)) {
            if (!context.fleet().usable(info.service(), version).isEmpty()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the usable servers of the most preferred version that has any, or an empty list.
     *
     * @param info the request
     * @param now the current time
     */
    List<ServerState> usableServers(RequestInfo info, Timestamp now) {
        for (VersionId version : context.moves().versionsFor(info, now)) {
            List<ServerState> servers = context.fleet().usable(info.service(), version);
            if (!servers.isEmpty()) {
                return servers;
            }
        }
        return new ArrayList<>();
    }
}
