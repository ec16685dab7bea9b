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
import org.geraniumstand.model.evidence.BadMark;
import org.geraniumstand.model.evidence.EvidenceKey;
import org.geraniumstand.model.evidence.EvidenceRow;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.request.AttemptReport;
import org.geraniumstand.model.request.RequestFacts;
import org.geraniumstand.model.status.MoveStatus;
import org.geraniumstand.model.time.Moment;

/**
 * Follows all version moves of a process and decides which version a request goes to.
 *
 * <p>Its choices depend on the plan, the time, the merged evidence and the bad marks alone, so that all processes
 * come to the same share without a leader.
 */
public final class MoveBoard {
    private static final long DEFAULT_TARGET_MILLIS = 500;
    private static final double WHOLE_PERCENT = 100.0;
    private static final int MIN_TOKENS_FOR_PACE = 4;

    private final MoveContext context;
    private final EvidenceSharing sharing;
    private final Map<ServiceId, MoveFollower> followers = new HashMap<>();
    private final Map<MoveId, BadMark> marks = new HashMap<>();
    private final Map<ServiceId, Service> services = new HashMap<>();
    private final Map<ServiceId, List<VersionId>> settled = new HashMap<>();
    private long targetMillis = DEFAULT_TARGET_MILLIS;

    /**
     * Creates the board of a process.
     *
     * @param self the process
     */
    public MoveBoard(ProcessId self) {
        this.context = new MoveContext(self);
        this.sharing = new EvidenceSharing(context.ledger());
    }

    /**
     * Takes in a configuration.
     *
     * @param next the configuration in force
     * @param now the time
     */
    public List<Action> onConfiguration(Configuration next, Moment now) {
        services.clear();
        settled.clear();
        for (Service service : next.services()) {
            services.put(service.id(), service);
            settled.put(service.id(), List.of(service.version()));
        }
        targetMillis =
                next.preset().map(Preset::firstTokenMillis).map(Long::valueOf).orElse(DEFAULT_TARGET_MILLIS);
        Map<MoveId, VersionMove> open = next.moves().stream()
                .filter(move -> move.state() == MoveState.UNDER_WAY)
                .collect(Collectors.toMap(VersionMove::id, move -> move, (first, _second) -> first));
        followers
                .values()
                .removeIf(follower ->
                        !follower.move().equals(open.get(follower.move().id())));
        List<Action> actions = new ArrayList<>();
        for (VersionMove move : open.values()) {
            if (services.containsKey(move.service()) && !followers.containsKey(move.service())) {
                followers.put(move.service(), new MoveFollower(context, move));
                Optional.ofNullable(marks.get(move.id())).ifPresent(mark -> actions.addAll(mark(mark)));
            }
        }
        marks.keySet().removeIf(move -> ended(next, move));
        context.ledger().retain(this::isOfInterest);
        actions.addAll(advance(now));
        return actions;
    }

    /**
     * Returns the versions that a request may go to, the one to try first in front.
     *
     * @param facts the request
     * @param now the time
     */
    public List<VersionId> versionsFor(RequestFacts facts, Moment now) {
        MoveFollower follower = followers.get(facts.service());
        if (follower == null) {
            return settled.getOrDefault(facts.service(), List.of());
        }
        return follower.versionsFor(facts, now);
    }

    /**
     * Returns what operators see of a move.
     *
     * @param move the move as it stands in the configuration
     */
    public MoveStatus status(VersionMove move) {
        return Optional.ofNullable(followers.get(move.service()))
                .filter(follower -> follower.move().equals(move))
                .map(MoveFollower::status)
                .orElseGet(() -> new MoveStatus(move, move.state() == MoveState.DONE ? WHOLE_PERCENT : 0, 0, 0, 0, 0));
    }

    /**
     * Counts an attempt.
     *
     * @param facts the request
     * @param server the backend server
     * @param report what the attempt brought
     * @param now the time
     */
    public List<Action> onAttemptEnded(RequestFacts facts, BackendServer server, AttemptReport report, Moment now) {
        MoveFollower follower = followers.get(facts.service());
        if (follower == null || !isOfInterest(facts.service(), server.version())) {
            return List.of();
        }
        AttemptCounting.Kind kind = AttemptCounting.of(report, context.usable(server.id()), targetMillis);
        boolean failed = kind == AttemptCounting.Kind.FAILURE || kind == AttemptCounting.Kind.CONNECTION_FAILURE;
        follower.ended(facts, server, failed, report.totalMillis());
        boolean warm = context.warmth().wasWarm(server.id(), report.totalMillis(), now);
        switch (kind) {
            case SUCCESS -> countSuccess(facts, server, report, warm, now);
            case FAILURE -> count(facts, server).accept(tally -> tally.withAttempt(true));
            case CONNECTION_FAILURE -> context.held().add(server, facts.route(), now);
            case WAITED -> {
                if (warm) {
                    countFirstByte(facts, server, report, report.totalMillis());
                }
            }
            case NONE -> {}
        }
        return kind == AttemptCounting.Kind.FAILURE ? follower.judge(now) : List.of();
    }

    /**
     * Takes in evidence of other processes.
     *
     * @param rows the rows
     * @param now the time
     */
    public List<Action> onEvidence(List<EvidenceRow> rows, Moment now) {
        context.ledger().merge(rows, this::isOfInterest);
        List<Action> actions = new ArrayList<>();
        followers.values().forEach(follower -> actions.addAll(follower.judge(now)));
        return actions;
    }

    /**
     * Takes in marks of other processes or of the store.
     *
     * @param received the marks
     * @param now the time
     */
    public List<Action> onBadMarks(List<BadMark> received, Moment now) {
        List<Action> actions = new ArrayList<>();
        for (BadMark mark : received) {
            if (marks.putIfAbsent(mark.move(), mark) == null) {
                actions.addAll(mark(mark));
            }
        }
        actions.addAll(advance(now));
        return actions;
    }

    /**
     * Takes in the list of backend servers that may take work.
     *
     * @param servers the backend servers
     * @param now the time
     */
    public List<Action> onFleet(List<BackendServer> servers, Moment now) {
        context.fleet(servers);
        return advance(now);
    }

    /**
     * Takes in what is known of a backend server's warmth; without it the board goes by the server's age.
     *
     * @param server the backend server
     * @param warm whether it can bear full load
     * @param now the time
     */
    public void onWarmth(ServerId server, boolean warm, Moment now) {
        context.warmth().tell(server, warm, now);
    }

    /**
     * Takes in the number of processes that evidence is sent to.
     *
     * @param peers the live members beside this process
     */
    public void onPeers(int peers) {
        context.peers(peers);
    }

    /**
     * Lets time pass.
     *
     * @param now the time
     */
    public List<Action> onTick(Moment now) {
        for (HeldFailures.Held due : context.held().takeDue(context::usable, now)) {
            BackendServer server = due.server();
            if (isOfInterest(server.service(), server.version())) {
                context.ledger()
                        .count(server.service(), server.version(), due.route(), tally -> tally.withAttempt(true));
            }
        }
        List<Action> actions = advance(now);
        if (!followers.isEmpty()) {
            actions.addAll(sharing.onTick(context.peers(), this::isUrgent, now));
        }
        return actions;
    }

    private static boolean ended(Configuration configuration, MoveId id) {
        return configuration.moves().stream()
                .anyMatch(move -> move.id().equals(id) && move.state() != MoveState.UNDER_WAY);
    }

    private List<Action> advance(Moment now) {
        List<Action> actions = new ArrayList<>();
        followers.forEach((service, follower) -> actions.addAll(follower.onTick(services.get(service), now)));
        return actions;
    }

    private List<Action> mark(BadMark mark) {
        MoveFollower follower = followers.get(mark.service());
        boolean known = follower != null && follower.move().id().equals(mark.move());
        return known ? follower.marked(mark) : List.of();
    }

    private void countSuccess(
            RequestFacts facts, BackendServer server, AttemptReport report, boolean warm, Moment now) {
        context.warmth().answered(server.id(), now);
        long first = Math.max(0, report.firstByteMillis());
        count(facts, server).accept(tally -> tally.withAttempt(false));
        if (warm) {
            countFirstByte(facts, server, report, first);
        }
        if (warm && facts.streaming() && report.tokens() >= MIN_TOKENS_FOR_PACE) {
            long pace = (report.totalMillis() - first) / (report.tokens() - 1);
            RouteId row = EvidenceRoutes.paceOf(facts.route());
            context.ledger().count(server.service(), server.version(), row, tally -> tally.withLatency(pace));
        }
    }

    private void countFirstByte(RequestFacts facts, BackendServer server, AttemptReport report, long millis) {
        int uncached = facts.promptTokens() - Math.max(0, report.cachedTokens());
        RouteId row = EvidenceRoutes.firstByteOf(facts.route(), uncached);
        context.ledger().count(server.service(), server.version(), row, tally -> tally.withLatency(millis));
    }

    private RowChange count(RequestFacts facts, BackendServer server) {
        return change -> context.ledger().count(server.service(), server.version(), facts.route(), change);
    }

    private boolean isOfInterest(EvidenceKey key) {
        return isOfInterest(key.service(), key.version());
    }

    private boolean isOfInterest(ServiceId service, VersionId version) {
        MoveFollower follower = followers.get(service);
        return follower != null
                && (version.equals(follower.move().from())
                        || version.equals(follower.move().to()));
    }

    private boolean isUrgent(EvidenceKey key) {
        MoveFollower follower = followers.get(key.service());
        return follower != null && follower.move().to().equals(key.version());
    }

    /** Changes one row of the ledger. */
    @FunctionalInterface
    private interface RowChange {
        void accept(UnaryOperator<Tally> change);
    }
}
