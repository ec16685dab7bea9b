package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import org.geraniumstand.decisions.Hash;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.relay.CallerHead;
import org.geraniumstand.model.relay.LimitDemand;
import org.geraniumstand.model.relay.RelayConfiguration;
import org.geraniumstand.model.relay.RelayRoute;
import org.geraniumstand.model.relay.RelayService;
import org.geraniumstand.model.relay.RelayTeam;
import org.geraniumstand.model.relay.ServerLoad;
import org.geraniumstand.model.relay.ServiceShare;
import org.geraniumstand.model.relay.WaitingCalls;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.time.Timestamp;

/**
 * Decides which server each relayed call is sent to, which calls are queued and which are refused.
 *
 * <p>The class uses no clock, thread or socket: its methods receive events and append the resulting actions to a list.
 * Not thread-safe.
 */
public final class RelayDispatcher {
    private static final int MAX_URGENCY = 9;
    private static final double MILLIS_IN_SECOND = 1_000;

    /** Urgency of the highest priority; lower priorities get higher numbers. */
    private static final int BASE_URGENCY = 3;

    /**
     * Minimum retry delay returned to a caller if no server is available, in milliseconds; a server takes several
     * seconds to boot.
     */
    private static final long RETRY_AFTER_MILLIS = 400;

    /**
     * Timeout for the first byte of a retryable call, as a multiple of the route's target; the call then moves to
     * another server.
     */
    private static final double FIRST_BYTE_TIMEOUT_TARGETS = 2.0;

    private static final long MIN_FIRST_BYTE_TIMEOUT_MILLIS = 600;

    private final RelayBounds bounds;
    private final RelayFleet fleet = new RelayFleet();
    private final PrefixCacheEstimate prefixCaches = new PrefixCacheEstimate();
    private final ProcessCount processes;
    private final SharedServerRate rate;
    private final QuotaLimiter quotas;
    private final CrashingPrompts crashingPrompts;
    private final RelayServerSelector selector;
    private final Map<ServiceId, CallQueue> queues = new HashMap<>();
    private final Map<ServiceId, RelayRetryBudget> retryBudgets = new HashMap<>();
    private final Map<ServiceId, QueueWaitEstimate> waitEstimates = new HashMap<>();
    private final Map<ServiceId, ArrivalRate> arrivals = new HashMap<>();
    private final Map<ServiceId, WaitingLine> lines = new HashMap<>();
    private final RetryDenials retryDenials;
    private final List<DeniedRetries> deniedRetries = new ArrayList<>();
    private Optional<RelayConfiguration> configuration = Optional.empty();
    private long retryCount;

    /**
     * Creates a dispatcher without a configuration.
     *
     * @param localDataCentre the data centre of this process
     * @param bounds limits from the settings
     * @param random source of randomness, seeded differently in each process
     * @param nowNanos the monotonic time in nanoseconds
     */
    public RelayDispatcher(DataCentreId localDataCentre, RelayBounds bounds, Random random, long nowNanos) {
        this.bounds = bounds;
        this.processes = new ProcessCount(bounds.assumedProcesses(), nowNanos);
        this.quotas = new QuotaLimiter(bounds.quotaSlack(), bounds.quotaOverrun(), processes, random);
        this.rate = new SharedServerRate(random);
        this.retryDenials = new RetryDenials(nowNanos);
        this.crashingPrompts = new CrashingPrompts(random);
        this.selector = new RelayServerSelector(localDataCentre, fleet, prefixCaches, rate);
    }

    /** Returns the configuration in force, if any. */
    public Optional<RelayConfiguration> configuration() {
        return configuration;
    }

    /** Returns the registered servers. */
    public RelayFleet fleet() {
        return fleet;
    }

    /** Returns the quota limiter of the teams. */
    public QuotaLimiter quotas() {
        return quotas;
    }

    /** Returns the prompts that crash servers. */
    public CrashingPrompts crashingPrompts() {
        return crashingPrompts;
    }

    /**
     * Decides whether a call may use its team's quota.
     *
     * @param head the parsed head of the request
     * @param team the call's team, if known
     * @param nowNanos the monotonic time in nanoseconds
     */
    public QuotaAdmission requestQuota(CallerHead head, Optional<RelayTeam> team, long nowNanos) {
        return team.map(known -> quotas.request(known, QuotaLimiter.cost(known, head), nowNanos))
                .orElse(QuotaAdmission.Admitted.INSTANCE);
    }

    /** Returns the count of processes that share limits. */
    public ProcessCount processes() {
        return processes;
    }

    /** Returns the number of queued calls of a service. */
    public int queuedCount(ServiceId service) {
        return queue(service).size();
    }

    /** Returns the prompt tokens that a server of a service can process in a second. */
    public double processedTokensPerSecond(ServiceId service) {
        return MILLIS_IN_SECOND / selector.speed(service).prefillMillisPerToken();
    }

    /** Returns the number of queued calls of all services. */
    public int queuedCount() {
        return queues.values().stream().mapToInt(CallQueue::size).sum();
    }

    /**
     * Returns what waits at this process, for the other processes.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public List<WaitingCalls> waitingCalls(long nowNanos) {
        return lines.entrySet().stream()
                .flatMap(line -> line.getValue().report(queue(line.getKey()).counts(), nowNanos).stream())
                .toList();
    }

    /**
     * Records what waits at all other processes.
     *
     * @param waiting the calls by service, rank and team
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onRemoteWaiting(List<WaitingCalls> waiting, long nowNanos) {
        waiting.forEach(calls -> line(calls.service()));
        lines.values().forEach(line -> line.onOthers(waiting, nowNanos));
    }

    /** Returns whether any call is queued. */
    public boolean hasQueuedCalls() {
        return queues.values().stream().anyMatch(queue -> queue.size() > 0);
    }

    /**
     * Applies a configuration; versions that are not newer than the one in force are ignored.
     *
     * @param next the new configuration
     * @param nowNanos the monotonic time in nanoseconds
     * @return whether it came into force
     */
    public boolean onConfiguration(RelayConfiguration next, long nowNanos) {
        if (configuration.isPresent() && configuration.get().version() >= next.version()) {
            return false;
        }
        configuration = Optional.of(next);
        quotas.onTeams(next.teams(), nowNanos);
        return true;
    }

    /**
     * Routes a call that passed the filters to its service and dispatches, queues or refuses it.
     *
     * @param call the call that arrived
     * @param nowNanos the monotonic time in nanoseconds
     * @param steps the list to which the resulting actions are appended
     */
    public void onArrival(RelayCall call, long nowNanos, List<RelayStep> steps) {
        ServiceId service = selectService(call);
        call.setService(service);
        retryBudget(service).onRequest(nowNanos);
        arrivals(service).onArrival(nowNanos);
        OptionalLong blockedMillis = crashingPrompts.blockedMillis(call, nowNanos);
        if (blockedMillis.isPresent()) {
            refuse(call, quarantineRefusal(call, blockedMillis.getAsLong()), nowNanos, steps);
            return;
        }
        if (configuration.flatMap(c -> c.service(service)).isEmpty() || !selector.hasEligibleServer(service)) {
            refuse(call, Refusal.notRun(RefusalReason.NO_SERVER, retryAfterMillis(call)), nowNanos, steps);
            return;
        }
        queue(service).add(call);
        dispatchQueued(service, nowNanos, steps);
        refuseUnservable(service, nowNanos, steps);
    }

    /**
     * Selects the service of a call; a route with several services splits its traffic by the hash of the attempt id.
     */
    private static ServiceId selectService(RelayCall call) {
        RelayRoute route = call.route();
        int totalWeight = route.shares().stream().mapToInt(ServiceShare::weight).sum();
        int position = totalWeight <= 0 ? 0 : Hash.modulo(Hash.of(call.head().attempt()), totalWeight);
        for (ServiceShare share : route.shares()) {
            position -= share.weight();
            if (position < 0) {
                return share.service();
            }
        }
        return route.shares().get(0).service();
    }

    /**
     * Records the first byte of an answer.
     *
     * @param call the call that is being answered
     * @param load the load that the server reported with the answer, if any
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onStarted(RelayCall call, Optional<ServerLoad> load, long nowNanos) {
        ServerView server = call.server();
        call.onStarted(nowNanos);
        if (server != null) {
            load.ifPresent(reported -> server.onLoad(reported, nowNanos));
        }
    }

    /**
     * Records that a part of a successful answer arrived.
     *
     * @param call the call that is being answered
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onProgress(RelayCall call, long nowNanos) {
        crashingPrompts.onProgress(call, nowNanos);
        learnSpeed(call, nowNanos);
        selector.onProgress(call, nowNanos);
    }

    /**
     * Records that a successful answer is complete.
     *
     * @param call the call that was answered
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onSucceeded(RelayCall call, long nowNanos) {
        crashingPrompts.onSound(call, nowNanos);
        learnSpeed(call, nowNanos);
    }

    private void learnSpeed(RelayCall call, long nowNanos) {
        if (!call.speedLearned()) {
            configuration
                    .flatMap(c -> c.service(call.service()))
                    .ifPresent(service -> SpeedLearning.learn(call, service, selector.speed(call.service()), nowNanos));
        }
    }

    /**
     * Records that another server answered at the address of the server that the call was sent to.
     *
     * @param call the call that was sent to the replaced server
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onReplaced(RelayCall call, long nowNanos) {
        if (call.server() != null) {
            fleet.onReplaced(call.server(), nowNanos);
        }
    }

    /**
     * Withdraws a call if its server no longer accepts new work. Must be called immediately before the call is sent,
     * because opening a connection may have taken time.
     *
     * @param call the call, of which nothing has been sent
     * @param nowNanos the monotonic time in nanoseconds
     * @param steps the list to which the resulting actions are appended
     * @return whether the call must not be sent
     */
    public boolean withdraw(RelayCall call, long nowNanos, List<RelayStep> steps) {
        if (call.server() == null || mayBeSent(call, nowNanos)) {
            return false;
        }
        call.withdraw();
        if (selector.hasEligibleServer(call.service())) {
            queue(call.service()).add(call);
        } else {
            refuse(call, refusal(call, AttemptEnd.NOT_CONNECTED), nowNanos, steps);
        }
        dispatchQueued(call.service(), nowNanos, steps);
        refuseUnservable(call.service(), nowNanos, steps);
        return true;
    }

    private boolean mayBeSent(RelayCall call, long nowNanos) {
        ServerView server = call.server();
        return fleet.isEligible(server)
                && fleet.pauseMillis(server, nowNanos) == 0
                && (call.withinLimit() || acquireRate(call, nowNanos));
    }

    /** Acquires a request to a server that may have named a limit since the call was assigned to it. */
    private boolean acquireRate(RelayCall call, long nowNanos) {
        OptionalDouble named = fleet.limits().perSecond(call.server().server());
        if (named.isEmpty()) {
            return true;
        }
        ServerId id = call.server().server().id();
        SharedLimit limit = SharedLimit.named(named.getAsDouble(), processes.senderCount(nowNanos));
        if (!rate.allows(id, limit, nowNanos)) {
            return false;
        }
        rate.onSent(id, limit, nowNanos);
        call.setWithinLimit(true);
        return true;
    }

    /**
     * Returns the limits that servers have named, with the calls that this process has for their services.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    List<LimitDemand> limitDemands(long nowNanos) {
        return fleet.limits().recent(nowNanos).stream()
                .map(limit -> new LimitDemand(limit, callsPerSecond(limit.server(), nowNanos)))
                .toList();
    }

    private double callsPerSecond(ServerId server, long nowNanos) {
        return fleet.view(server)
                .map(view -> arrivals(view.server().service()).perSecond(nowNanos))
                .orElse(0.0);
    }

    /**
     * Records that an aggregator grants this process a share of a server's limit.
     *
     * @param rank position of the aggregator in the order of precedence
     * @param server the limited server
     * @param share fraction of the limit that this process may use
     * @param nowNanos the monotonic time in nanoseconds
     */
    void onGrant(int rank, ServerId server, double share, long nowNanos) {
        OptionalDouble limit = fleet.view(server)
                .map(view -> fleet.limits().perSecond(view.server()))
                .orElseGet(OptionalDouble::empty);
        if (limit.isPresent()) {
            rate.grants().onGrant(rank, server, share, limit.getAsDouble(), nowNanos);
        }
    }

    /**
     * Records the end of an attempt and retries or refuses the call if the attempt failed.
     *
     * @param call the call whose attempt ended
     * @param end how the attempt ended
     * @param nowNanos the monotonic time in nanoseconds
     * @param steps the list to which the resulting actions are appended; an answered call adds none for itself
     */
    public void onEnded(RelayCall call, AttemptEnd end, long nowNanos, List<RelayStep> steps) {
        ServerView server = call.server();
        crashingPrompts.onEnded(call, end, nowNanos);
        if (server != null && end == AttemptEnd.ANSWERED) {
            line(call.service()).onFreed();
        }
        call.release(end != AttemptEnd.CANCELLED && RelayRetryRule.mayHaveRun(end));
        if (server != null && server.recordEnd(end)) {
            server.eject(nowNanos);
            if (end != AttemptEnd.SILENT) {
                // An unresponsive server is usually overloaded rather than down.
                server.onLost(nowNanos);
            }
            if (end == AttemptEnd.NOT_CONNECTED) {
                server.onNotConnected(nowNanos);
            }
        }
        if (end != AttemptEnd.ANSWERED && end != AttemptEnd.CANCELLED) {
            retryOrRefuse(call, end, nowNanos, steps);
        }
        dispatchQueued(call.service(), nowNanos, steps);
    }

    private void retryOrRefuse(RelayCall call, AttemptEnd end, long nowNanos, List<RelayStep> steps) {
        boolean retry = RelayRetryRule.mayRetry(call, end, nowNanos)
                && crashingPrompts.blockedMillis(call, nowNanos).isEmpty()
                && selector.hasEligibleServer(call.service())
                && acquireRetry(call.service(), nowNanos);
        if (retry) {
            queue(call.service()).add(call);
            return;
        }
        refuse(call, refusal(call, end), nowNanos, steps);
    }

    private boolean acquireRetry(ServiceId service, long nowNanos) {
        RelayRetryBudget budget = retryBudget(service);
        double slackShare = processes.allowanceShare(bounds.retryWindowMillis(), nowNanos);
        if (budget.tryAcquire(slackShare, nowNanos)) {
            retryCount++;
            return true;
        }
        retryDenials
                .onDenied(service, () -> budget.usage(slackShare, nowNanos), slackShare, nowNanos)
                .ifPresent(deniedRetries::add);
        return false;
    }

    /** Returns the reports of denied retries since the last call of this method; at most one a second for each service. */
    public List<DeniedRetries> takeDeniedRetries() {
        List<DeniedRetries> reports = List.copyOf(deniedRetries);
        deniedRetries.clear();
        return reports;
    }

    /** Returns the number of calls that were retried since the process started; a call may count several times. */
    public long retryCount() {
        return retryCount;
    }

    /** Returns the number of retries that the retry budgets denied since the process started. */
    public long deniedRetryCount() {
        return retryDenials.total();
    }

    private void refuse(RelayCall call, Refusal refusal, long nowNanos, List<RelayStep> steps) {
        if (!call.mayHaveRun()) {
            call.team().ifPresent(team -> quotas.refund(team, QuotaLimiter.cost(team, call.head()), nowNanos));
        }
        steps.add(new RelayStep.Refuse(call, refusal));
    }

    private static Refusal refusal(RelayCall call, AttemptEnd end) {
        if (!call.mayHaveRun()) {
            return Refusal.notRun(RefusalReason.NO_SERVER, retryAfterMillis(call));
        }
        return Refusal.unknown(end == AttemptEnd.SILENT ? RefusalReason.SERVER_SILENT : RefusalReason.SERVER_FAILED);
    }

    /**
     * Cancels a call that no longer needs an answer.
     *
     * @param call the call to cancel
     * @param nowNanos the monotonic time in nanoseconds
     * @param steps the list to which the resulting actions for other calls are appended
     */
    public void onAbandoned(RelayCall call, long nowNanos, List<RelayStep> steps) {
        if (call.service() == null) {
            return;
        }
        queue(call.service()).remove(call);
        call.release(true);
        dispatchQueued(call.service(), nowNanos, steps);
    }

    /**
     * Dispatches queued calls and refuses those that cannot meet their deadline.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @param steps the list to which the resulting actions are appended
     */
    public void onTick(long nowNanos, List<RelayStep> steps) {
        for (ServiceId service : List.copyOf(queues.keySet())) {
            dispatchQueued(service, nowNanos, steps);
            refuseUnservable(service, nowNanos, steps);
        }
    }

    /** Refuses the queued calls that are not expected to get a slot before their deadline. */
    private void refuseUnservable(ServiceId service, long nowNanos, List<RelayStep> steps) {
        CallQueue queue = queue(service);
        if (queue.size() == 0) {
            return;
        }
        boolean noServer = !selector.hasEligibleServer(service);
        RequestedWait requested = configuration
                .flatMap(c -> c.service(service))
                .map(known -> selector.requestedWait(known, processes.senderCount(nowNanos), nowNanos))
                .orElse(RequestedWait.NONE);
        IdentityHashMap<RelayCall, Long> waits = new IdentityHashMap<>();
        List<RelayCall> unservable = queue.removeIf(nowNanos, (ahead, call) -> {
            long remainingMillis = (call.deadlineNanos() - nowNanos) / Timestamp.NANOS_PER_MILLI;
            long waitMillis = expectedWaitMillis(ahead, call, nowNanos);
            // A refusal discards what has already been relayed, so such a call waits until its deadline.
            boolean hopeless = TurningAway.isHopeless(waitMillis, remainingMillis, call.relayed());
            boolean blocked = crashingPrompts.blockedMillis(call, nowNanos).isPresent();
            long totalMillis = (call.deadlineNanos() - call.arrivedNanos()) / Timestamp.NANOS_PER_MILLI;
            boolean notWanted = !call.relayed() && requested.isTooLong(ahead, totalMillis, remainingMillis);
            boolean refused = noServer || hopeless || blocked || notWanted;
            if (hopeless && !noServer && !notWanted) {
                waits.put(call, waitMillis);
            }
            return refused;
        });
        for (RelayCall call : unservable) {
            OptionalLong blockedMillis = crashingPrompts.blockedMillis(call, nowNanos);
            Refusal refusal;
            if (blockedMillis.isPresent()) {
                refusal = quarantineRefusal(call, blockedMillis.getAsLong());
            } else if (call.mayHaveRun()) {
                refusal = Refusal.unknown(RefusalReason.DEADLINE);
            } else if (waits.containsKey(call)) {
                long remainingMillis = (call.deadlineNanos() - nowNanos) / Timestamp.NANOS_PER_MILLI;
                refusal = Refusal.notRun(
                        RefusalReason.NO_ROOM,
                        TurningAway.returnMillis(call.head().attempt(), waits.get(call), remainingMillis));
            } else {
                refusal = Refusal.notRun(
                        RefusalReason.NO_SERVER, Math.max(requested.firstMillis(), retryAfterMillis(call)));
            }
            refuse(call, refusal, nowNanos, steps);
        }
    }

    private long expectedWaitMillis(int ahead, RelayCall call, long nowNanos) {
        WaitingLine line = line(call.service());
        QueueWaitEstimate estimate = waitEstimate(call.service());
        return line.othersWait(nowNanos)
                ? estimate.waitMillis(
                        ahead + line.aheadElsewhere(call, nowNanos),
                        TurningAway.caution(call.head().attempt()),
                        line.sentPerSecond(call.priority(), nowNanos),
                        nowNanos)
                : estimate.waitMillis(ahead, nowNanos);
    }

    private static Refusal quarantineRefusal(RelayCall call, long blockedMillis) {
        return call.mayHaveRun()
                ? Refusal.unknown(RefusalReason.SERVER_FAILED)
                : Refusal.notRun(RefusalReason.PROMPT_QUARANTINED, blockedMillis + retryAfterMillis(call));
    }

    /**
     * Returns the retry delay of a refused call. The delays are spread over twice the minimum, because callers that are
     * refused together would otherwise retry together.
     */
    private static long retryAfterMillis(RelayCall call) {
        return RETRY_AFTER_MILLIS + Hash.modulo(Hash.of(call.head().attempt()), (int) RETRY_AFTER_MILLIS);
    }

    private void dispatchQueued(ServiceId id, long nowNanos, List<RelayStep> steps) {
        Optional<RelayService> service = configuration.flatMap(c -> c.service(id));
        QueueWaitEstimate waitEstimate = waitEstimate(id);
        if (service.isEmpty() || queue(id).size() == 0) {
            waitEstimate.onQueueEmpty();
            return;
        }
        // Selecting a server for a call scans all servers, so no call is considered once there is no free slot.
        int freeSlots = selector.freeSlots(service.get(), processes.senderCount(nowNanos), nowNanos);
        int turns = freeSlots == 0 ? 0 : selector.openTurns(service.get(), processes.senderCount(nowNanos), nowNanos);
        int places = freeSlots == 0
                ? 0
                : turns + line(id).places(freeSlots - turns, queue(id).counts(), nowNanos);
        int before = steps.size();
        queue(id)
                .offerWhile(
                        nowNanos,
                        () -> steps.size() - before < places,
                        call -> offer(
                                call, service.get(), freeSlots - (steps.size() - before), turns, nowNanos, steps));
        waitEstimate.onDispatched(steps.size() - before);
        if (queue(id).size() == 0) {
            waitEstimate.onQueueEmpty();
        } else {
            waitEstimate.onQueueNonEmpty(nowNanos);
        }
    }

    /** Dispatches a call unless the free slots are needed for calls of other processes that go first. */
    private CallQueue.Answer offer(
            RelayCall call, RelayService service, int freeSlots, int turns, long nowNanos, List<RelayStep> steps) {
        // The turns of this process at limited servers are of no use to others.
        if (turns == 0 && freeSlots <= line(service.id()).firstElsewhere(WaitingLine.Key.of(call), nowNanos)) {
            return CallQueue.Answer.HELD_BACK;
        }
        return dispatch(call, service, nowNanos, steps) ? CallQueue.Answer.ACCEPTED : CallQueue.Answer.REJECTED;
    }

    private boolean dispatch(RelayCall call, RelayService service, long nowNanos, List<RelayStep> steps) {
        if (nowNanos - call.deadlineNanos() >= 0
                || crashingPrompts.blockedMillis(call, nowNanos).isPresent()) {
            return false;
        }
        int senders = processes.senderCount(nowNanos);
        Optional<RelayServerSelector.Selection> selection = selector.choose(call, service, senders, nowNanos);
        if (selection.isEmpty()) {
            return false;
        }
        selector.onSent(call, service, selection.get(), nowNanos);
        ServerView server = selection.get().server();
        Optional<SharedLimit> limit = selector.limit(server, service, senders, nowNanos);
        limit.ifPresent(l -> rate.onSent(server.server().id(), l, nowNanos));
        call.send(server, selection.get().uncachedTokens(), nowNanos);
        call.setWithinLimit(limit.isPresent());
        crashingPrompts.onSent(call, nowNanos);
        line(service.id()).onSent(call, nowNanos);
        if (limit.isEmpty()) {
            line(service.id()).onPlaceTaken();
        }
        if (service.engineCapacity().isPresent()) {
            prefixCaches.onSent(call.head().promptParts(), server.server().id(), nowNanos);
        }
        int urgency = Math.min(MAX_URGENCY, BASE_URGENCY + Math.max(0, call.priority()));
        steps.add(new RelayStep.Send(
                call,
                server.server(),
                urgency,
                firstByteMillis(call, nowNanos),
                server.assumedState(service, senders, fleet.limits().perSecond(server.server()), nowNanos)));
        return true;
    }

    private static long firstByteMillis(RelayCall call, long nowNanos) {
        long remainingMillis = Math.max(1, (call.deadlineNanos() - nowNanos) / Timestamp.NANOS_PER_MILLI);
        boolean mayRetry =
                call.route().retryable() && call.attempts() < call.route().maxAttempts();
        if (!mayRetry) {
            return remainingMillis;
        }
        long firstByteTimeoutMillis = Math.max(
                MIN_FIRST_BYTE_TIMEOUT_MILLIS,
                Math.round(FIRST_BYTE_TIMEOUT_TARGETS * call.route().targetMillis()));
        return Math.min(remainingMillis, firstByteTimeoutMillis);
    }

    private CallQueue queue(ServiceId service) {
        return queues.computeIfAbsent(service, key -> new CallQueue(line(key)::sentWork));
    }

    private WaitingLine line(ServiceId service) {
        return lines.computeIfAbsent(service, WaitingLine::new);
    }

    private QueueWaitEstimate waitEstimate(ServiceId service) {
        return waitEstimates.computeIfAbsent(service, _key -> new QueueWaitEstimate());
    }

    private ArrivalRate arrivals(ServiceId service) {
        return arrivals.computeIfAbsent(service, _key -> new ArrivalRate());
    }

    private RelayRetryBudget retryBudget(ServiceId service) {
        return retryBudgets.computeIfAbsent(
                service,
                _key -> new RelayRetryBudget(bounds.retryRatio(), bounds.retrySlack(), bounds.retryWindowMillis()));
    }
}
