package org.geraniumstand.decisions.moves;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.evidence.EvidenceSharing;
import org.geraniumstand.decisions.evidence.Tally;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.MoveState;
import org.geraniumstand.model.config.Preset;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.VersionMove;
import org.geraniumstand.model.evidence.BadVersion;
import org.geraniumstand.model.evidence.EvidenceKey;
import org.geraniumstand.model.evidence.EvidenceRow;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.request.AttemptResult;
import org.geraniumstand.model.request.RequestInfo;
import org.geraniumstand.model.status.MoveStatus;
import org.geraniumstand.model.time.Timestamp;

/**
 * Selects the version that each request goes to while version moves are in progress on this process.
 *
 * <p>The selection depends only on the configuration, the time, the merged evidence and the rejections of versions, so
 * all processes arrive at the same share without a leader.
 */
public final class MoveController {
    private static final long DEFAULT_FIRST_BYTE_TARGET_MILLIS = 500;
    private static final double FULL_PERCENT = 100.0;
    private static final int MIN_TOKENS_FOR_INTERVAL = 4;

    private final MoveContext context;
    private final EvidenceSharing sharing;
    private final Map<ServiceId, ActiveMove> activeMoves = new HashMap<>();
    private final Map<MoveId, BadVersion> rejections = new HashMap<>();
    private final Map<ServiceId, Service> services = new HashMap<>();
    private final Map<ServiceId, List<VersionId>> stableVersions = new HashMap<>();
    private long firstByteTargetMillis = DEFAULT_FIRST_BYTE_TARGET_MILLIS;

    /**
     * Creates a controller without moves.
     *
     * @param self this process
     */
    public MoveController(ProcessId self) {
        this.context = new MoveContext(self);
        this.sharing = new EvidenceSharing(context.evidence());
    }

    /**
     * Applies a configuration: starts its new moves and stops those that have ended.
     *
     * @param inForce the configuration in force
     * @param now the current time
     */
    public List<Action> onConfiguration(Configuration inForce, Timestamp now) {
        services.clear();
        stableVersions.clear();
        for (Service service : inForce.services()) {
            services.put(service.id(), service);
            stableVersions.put(service.id(), List.of(service.version()));
        }
        firstByteTargetMillis = inForce.preset()
                .map(Preset::firstTokenMillis)
                .map(Long::valueOf)
                .orElse(DEFAULT_FIRST_BYTE_TARGET_MILLIS);
        Map<MoveId, VersionMove> openMoves = inForce.moves().stream()
                .filter(move -> move.state() == MoveState.UNDER_WAY)
                .collect(Collectors.toMap(VersionMove::id, move -> move, (first, _second) -> first));
        activeMoves
                .values()
                .removeIf(activeMove -> !activeMove
                        .move()
                        .equals(openMoves.get(activeMove.move().id())));
        List<Action> actions = new ArrayList<>();
        for (VersionMove move : openMoves.values()) {
            if (services.containsKey(move.service()) && !activeMoves.containsKey(move.service())) {
                activeMoves.put(move.service(), new ActiveMove(context, move));
                Optional.ofNullable(rejections.get(move.id()))
                        .ifPresent(rejection -> actions.addAll(applyRejection(rejection)));
            }
        }
        rejections.keySet().removeIf(move -> hasEnded(inForce, move));
        context.evidence().retain(this::isTracked);
        actions.addAll(advance(now));
        return actions;
    }

    /**
     * Returns the versions that a request may go to, in order of preference.
     *
     * @param info the properties of the request
     * @param now the current time
     */
    public List<VersionId> versionsFor(RequestInfo info, Timestamp now) {
        ActiveMove activeMove = activeMoves.get(info.service());
        if (activeMove == null) {
            return stableVersions.getOrDefault(info.service(), List.of());
        }
        return activeMove.versionsFor(info, now);
    }

    /**
     * Returns the status of a move as reported to operators.
     *
     * @param move the move as stored in the configuration
     */
    public MoveStatus status(VersionMove move) {
        return Optional.ofNullable(activeMoves.get(move.service()))
                .filter(activeMove -> activeMove.move().equals(move))
                .map(ActiveMove::status)
                .orElseGet(() -> new MoveStatus(move, move.state() == MoveState.DONE ? FULL_PERCENT : 0, 0, 0, 0, 0));
    }

    /**
     * Counts an attempt that ended.
     *
     * @param info the properties of the request
     * @param server the backend server
     * @param result the result and the latencies of the attempt
     * @param now the current time
     */
    public List<Action> onAttemptEnded(RequestInfo info, BackendServer server, AttemptResult result, Timestamp now) {
        ActiveMove activeMove = activeMoves.get(info.service());
        if (activeMove == null || !isTracked(info.service(), server.version())) {
            return List.of();
        }
        AttemptClassifier.Classification classification =
                AttemptClassifier.classify(result, context.isUsable(server.id()), firstByteTargetMillis);
        boolean failed = classification == AttemptClassifier.Classification.FAILURE
                || classification == AttemptClassifier.Classification.CONNECTION_FAILURE;
        activeMove.onAttemptEnded(info, server, failed, result.totalMillis());
        boolean warm = context.warmth().wasWarm(server.id(), result.totalMillis(), now);
        switch (classification) {
            case SUCCESS -> countSuccess(info, server, result, warm, now);
            case FAILURE -> rowUpdater(info, server).accept(tally -> tally.withAttempt(true));
            case CONNECTION_FAILURE -> context.deferredFailures().defer(server, info.route(), now);
            case WAITED -> {
                if (warm) {
                    countFirstByte(info, server, result, result.totalMillis());
                }
            }
            case NONE -> {}
        }
        return classification == AttemptClassifier.Classification.FAILURE ? activeMove.evaluate(now) : List.of();
    }

    /**
     * Merges evidence received from other processes.
     *
     * @param rows the received rows
     * @param now the current time
     */
    public List<Action> onEvidence(List<EvidenceRow> rows, Timestamp now) {
        context.evidence().merge(rows, this::isTracked);
        List<Action> actions = new ArrayList<>();
        activeMoves.values().forEach(activeMove -> actions.addAll(activeMove.evaluate(now)));
        return actions;
    }

    /**
     * Applies rejections of versions received from other processes or read from the store.
     *
     * @param received the rejections
     * @param now the current time
     */
    public List<Action> onBadVersions(List<BadVersion> received, Timestamp now) {
        List<Action> actions = new ArrayList<>();
        for (BadVersion rejection : received) {
            if (rejections.putIfAbsent(rejection.move(), rejection) == null) {
                actions.addAll(applyRejection(rejection));
            }
        }
        actions.addAll(advance(now));
        return actions;
    }

    /**
     * Replaces the list of backend servers that may receive work.
     *
     * @param servers the backend servers
     * @param now the current time
     */
    public List<Action> onFleet(List<BackendServer> servers, Timestamp now) {
        context.setServers(servers);
        return advance(now);
    }

    /**
     * Records whether a backend server is warm; without a report, the time since its first answer decides.
     *
     * @param server the backend server
     * @param warm whether the server can sustain full load
     * @param now the current time
     */
    public void onWarmth(ServerId server, boolean warm, Timestamp now) {
        context.warmth().onReport(server, warm, now);
    }

    /**
     * Sets the number of processes that evidence is sent to.
     *
     * @param peers number of live members besides this process
     */
    public void onPeers(int peers) {
        context.setPeerCount(peers);
    }

    /**
     * Counts failures whose deferral has ended, advances all moves and sends changed evidence.
     *
     * @param now the current time
     */
    public List<Action> onTick(Timestamp now) {
        for (DeferredFailures.DeferredFailure failure :
                context.deferredFailures().drainDue(context::isUsable, now)) {
            BackendServer server = failure.server();
            if (isTracked(server.service(), server.version())) {
                context.evidence()
                        .count(server.service(), server.version(), failure.route(), tally -> tally.withAttempt(true));
            }
        }
        List<Action> actions = advance(now);
        if (!activeMoves.isEmpty()) {
            actions.addAll(sharing.onTick(context.peerCount(), this::isUrgent, now));
        }
        return actions;
    }

    private static boolean hasEnded(Configuration configuration, MoveId id) {
        return configuration.moves().stream()
                .anyMatch(move -> move.id().equals(id) && move.state() != MoveState.UNDER_WAY);
    }

    private List<Action> advance(Timestamp now) {
        List<Action> actions = new ArrayList<>();
        activeMoves.forEach((service, activeMove) -> actions.addAll(activeMove.onTick(services.get(service), now)));
        return actions;
    }

    private List<Action> applyRejection(BadVersion rejection) {
        ActiveMove activeMove = activeMoves.get(rejection.service());
        boolean applies = activeMove != null && activeMove.move().id().equals(rejection.move());
        return applies ? activeMove.onRejection(rejection) : List.of();
    }

    private void countSuccess(
            RequestInfo info, BackendServer server, AttemptResult result, boolean warm, Timestamp now) {
        context.warmth().onAnswer(server.id(), now);
        long firstByteMillis = Math.max(0, result.firstByteMillis());
        rowUpdater(info, server).accept(tally -> tally.withAttempt(false));
        if (warm) {
            countFirstByte(info, server, result, firstByteMillis);
        }
        if (warm && info.streaming() && result.tokens() >= MIN_TOKENS_FOR_INTERVAL) {
            long interTokenMillis = (result.totalMillis() - firstByteMillis) / (result.tokens() - 1);
            RouteId row = PseudoRoutes.interTokenLatencyOf(info.route());
            context.evidence()
                    .count(server.service(), server.version(), row, tally -> tally.withLatency(interTokenMillis));
        }
    }

    private void countFirstByte(RequestInfo info, BackendServer server, AttemptResult result, long latencyMillis) {
        int uncachedTokens = info.promptTokens() - Math.max(0, result.cachedTokens());
        RouteId row = PseudoRoutes.timeToFirstByteOf(info.route(), uncachedTokens);
        context.evidence().count(server.service(), server.version(), row, tally -> tally.withLatency(latencyMillis));
    }

    private RowUpdater rowUpdater(RequestInfo info, BackendServer server) {
        return change -> context.evidence().count(server.service(), server.version(), info.route(), change);
    }

    private boolean isTracked(EvidenceKey key) {
        return isTracked(key.service(), key.version());
    }

    private boolean isTracked(ServiceId service, VersionId version) {
        ActiveMove activeMove = activeMoves.get(service);
        return activeMove != null
                && (version.equals(activeMove.move().from())
                        || version.equals(activeMove.move().to()));
    }

    private boolean isUrgent(EvidenceKey key) {
        ActiveMove activeMove = activeMoves.get(key.service());
        return activeMove != null && activeMove.move().to().equals(key.version());
    }

    /** Updates one row of evidence. */
    @FunctionalInterface
    private interface RowUpdater {
        void accept(UnaryOperator<Tally> change);
    }
}
