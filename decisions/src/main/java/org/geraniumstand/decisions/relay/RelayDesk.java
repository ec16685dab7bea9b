package org.geraniumstand.decisions.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.geraniumstand.decisions.Hash;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.relay.CallerHead;
import org.geraniumstand.model.relay.RelayPlan;
import org.geraniumstand.model.relay.RelayRoute;
import org.geraniumstand.model.relay.RelayService;
import org.geraniumstand.model.relay.RelayTeam;
import org.geraniumstand.model.relay.ServerLoad;
import org.geraniumstand.model.relay.ServiceShare;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.time.Moment;

/**
 * Decides where relayed calls go, which wait and which are refused.
 *
 * <p>It has no clock, thread or socket of its own and belongs to one thread: what was seen goes in, steps come out.
 */
public final class RelayDesk {
    private static final int MAX_URGENCY = 9;

    /** Urgency of the highest rank; the ranks below follow. */
    private static final int BASE_URGENCY = 3;

    /** When a caller is reported to come back if no server takes its call, in milliseconds; a server boots for seconds. */
    private static final long RETRY_AFTER_MILLIS = 400;

    /** Times its target that a repeatable call may be without a first byte before another server gets it. */
    private static final double FIRST_BYTE_TIMEOUT_TARGETS = 2.0;

    private static final long MIN_FIRST_BYTE_TIMEOUT_MILLIS = 600;

    private final RelayBounds bounds;
    private final RelayFleet fleet = new RelayFleet();
    private final PrefixCacheEstimate prefixCaches = new PrefixCacheEstimate();
    private final ProcessCount processes;
    private final ColdServerRateLimiter coldLimiter;
    private final QuotaLimiter quotas;
    private final RelayServerSelector selector;
    private final Map<ServiceId, CallQueue> queues = new HashMap<>();
    private final Map<ServiceId, RelayRetryBudget> retryBudgets = new HashMap<>();
    private final Map<ServiceId, QueueWaitEstimate> waitEstimates = new HashMap<>();
    private Optional<RelayPlan> plan = Optional.empty();

    /**
     * Creates a desk without a plan.
     *
     * @param localDataCentre the data centre of this process
     * @param bounds the bounds that must hold
     * @param random differs between processes
     * @param nowNanos the monotonic time in nanoseconds
     */
    public RelayDesk(DataCentreId localDataCentre, RelayBounds bounds, Random random, long nowNanos) {
        this.bounds = bounds;
        this.processes = new ProcessCount(bounds.assumedProcesses(), nowNanos);
        this.quotas = new QuotaLimiter(bounds.quotaSlack(), bounds.quotaOverrun(), processes);
        this.coldLimiter = new ColdServerRateLimiter(random);
        this.selector = new RelayServerSelector(localDataCentre, fleet, prefixCaches, coldLimiter);
    }

    /** Returns the plan in force, if any. */
    public Optional<RelayPlan> plan() {
        return plan;
    }

    /** Returns the servers. */
    public RelayFleet fleet() {
        return fleet;
    }

    /** Returns the teams' quotas. */
    public QuotaLimiter quotas() {
        return quotas;
    }

    /**
     * Lets a call pass its team's quota or refuses it.
     *
     * @param head the call's head
     * @param team its team
     * @param nowNanos the monotonic time in nanoseconds
     * @return the refusal, or nothing if the call passes
     */
    public Optional<Refusal> overQuota(CallerHead head, Optional<RelayTeam> team, long nowNanos) {
        if (team.isEmpty()) {
            return Optional.empty();
        }
        OptionalLong wait = quotas.tryAcquire(team.get(), QuotaLimiter.cost(team.get(), head), nowNanos);
        return wait.isPresent()
                ? Optional.of(Refusal.notRun(RefusalReason.OVER_QUOTA, wait.getAsLong()))
                : Optional.empty();
    }

    /** Returns the count of processes that share limits. */
    public ProcessCount processes() {
        return processes;
    }

    /** Returns the number of calls of a service that wait. */
    public int waitingCount(ServiceId service) {
        return queue(service).size();
    }

    /** Returns whether any call waits. */
    public boolean anyWaiting() {
        return queues.values().stream().anyMatch(queue -> queue.size() > 0);
    }

    /**
     * Takes in a plan; one that is not newer than the one in force is ignored.
     *
     * @param next the plan
     * @param nowNanos the monotonic time in nanoseconds
     * @return whether it came into force
     */
    public boolean onPlan(RelayPlan next, long nowNanos) {
        if (plan.isPresent() && plan.get().version() >= next.version()) {
            return false;
        }
        plan = Optional.of(next);
        quotas.onTeams(next.teams(), nowNanos);
        return true;
    }

    /**
     * Takes in a call that passed the filters.
     *
     * @param call the call
     * @param nowNanos the monotonic time in nanoseconds
     * @param steps filled with what is to be done
     */
    public void arrive(RelayCall call, long nowNanos, List<RelayStep> steps) {
        ServiceId service = selectService(call);
        call.setService(service);
        retryBudget(service).onRequest(nowNanos);
        if (plan.flatMap(p -> p.service(service)).isEmpty() || !selector.hasEligibleServer(service)) {
            refuse(call, Refusal.notRun(RefusalReason.NO_SERVER, retryAfterMillis(call)), steps);
            return;
        }
        queue(service).add(call);
        dispatchWaiting(service, nowNanos, steps);
        refuseUnservable(service, nowNanos, steps);
    }

    /** A route with several services deals its calls out by the hash of the attempt. */
    private static ServiceId selectService(RelayCall call) {
        RelayRoute route = call.route();
        int totalWeight = route.shares().stream().mapToInt(ServiceShare::weight).sum();
        int point = totalWeight <= 0 ? 0 : Hash.below(Hash.of(call.head().attempt()), totalWeight);
        for (ServiceShare share : route.shares()) {
            point -= share.weight();
            if (point < 0) {
                return share.service();
            }
        }
        return route.shares().get(0).service();
    }

    /**
     * Takes in the first byte of an answer.
     *
     * @param call the call
     * @param load the server's load, if it reported
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
     * Takes in that another server answered at the address of the one that a call was sent to.
     *
     * @param call the call
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onReplaced(RelayCall call, long nowNanos) {
        if (call.server() != null) {
            call.server().onReplaced(nowNanos);
        }
    }

    /**
     * Takes a call back if its server takes no more work; to be asked just before the call is sent, as a connection may
     * have been opened meanwhile.
     *
     * @param call the call, of which no part was sent
     * @param nowNanos the monotonic time in nanoseconds
     * @param steps filled with what is to be done
     * @return whether the call must not be sent
     */
    public boolean withdraw(RelayCall call, long nowNanos, List<RelayStep> steps) {
        if (call.server() == null || fleet.isEligible(call.server())) {
            return false;
        }
        call.withdraw();
        if (selector.hasEligibleServer(call.service())) {
            queue(call.service()).add(call);
        } else {
            refuse(call, refusal(call, AttemptEnd.NOT_CONNECTED), steps);
        }
        dispatchWaiting(call.service(), nowNanos, steps);
        refuseUnservable(call.service(), nowNanos, steps);
        return true;
    }

    /**
     * Takes in the end of an attempt.
     *
     * @param call the call
     * @param end how it ended
     * @param nowNanos the monotonic time in nanoseconds
     * @param steps filled with what is to be done; nothing for the call if it is answered
     */
    public void onEnded(RelayCall call, AttemptEnd end, long nowNanos, List<RelayStep> steps) {
        ServerView server = call.server();
        call.release(end != AttemptEnd.CANCELLED && RepeatRule.mayHaveRun(end));
        if (server != null && server.recordEnd(end)) {
            server.eject(nowNanos);
            if (end != AttemptEnd.SILENT) {
                // A server that is silent is busy more often than gone.
                server.onLost(nowNanos);
            }
        }
        if (end != AttemptEnd.ANSWERED && end != AttemptEnd.CANCELLED) {
            retryOrRefuse(call, end, nowNanos, steps);
        }
        dispatchWaiting(call.service(), nowNanos, steps);
    }

    private void retryOrRefuse(RelayCall call, AttemptEnd end, long nowNanos, List<RelayStep> steps) {
        boolean retry = RepeatRule.test(call, end, nowNanos)
                && selector.hasEligibleServer(call.service())
                && retryBudget(call.service()).tryAcquire(processes.senderCount(nowNanos), nowNanos);
        if (retry) {
            queue(call.service()).add(call);
            return;
        }
        refuse(call, refusal(call, end), steps);
    }

    private void refuse(RelayCall call, Refusal refusal, List<RelayStep> steps) {
        if (!call.mayHaveRun()) {
            call.team().ifPresent(team -> quotas.refund(team, QuotaLimiter.cost(team, call.head())));
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
     * Takes in that a call needs no answer any more.
     *
     * @param call the call
     * @param nowNanos the monotonic time in nanoseconds
     * @param steps filled with what is to be done for others
     */
    public void onAbandoned(RelayCall call, long nowNanos, List<RelayStep> steps) {
        if (call.service() == null) {
            return;
        }
        queue(call.service()).remove(call);
        call.release(true);
        dispatchWaiting(call.service(), nowNanos, steps);
    }

    /**
     * Lets time pass.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @param steps filled with what is to be done
     */
    public void onTick(long nowNanos, List<RelayStep> steps) {
        for (ServiceId service : List.copyOf(queues.keySet())) {
            dispatchWaiting(service, nowNanos, steps);
            refuseUnservable(service, nowNanos, steps);
        }
    }

    /** Refuses the queues calls that are not expected to get a place before their deadline. */
    private void refuseUnservable(ServiceId service, long nowNanos, List<RelayStep> steps) {
        CallQueue queue = queue(service);
        if (queue.size() == 0) {
            return;
        }
        boolean noServer = !selector.hasEligibleServer(service);
        QueueWaitEstimate waitEstimate = waitEstimate(service);
        List<RelayCall> unservable = queue.removeIf((ahead, call) -> {
            long leftMillis = (call.deadlineNanos() - nowNanos) / Moment.NANOS_PER_MILLI;
            // What was passed on already is lost with a refusal, so such a call waits to the end.
            boolean tooLong = !call.relayed() && waitEstimate.waitMillis(ahead, nowNanos) > leftMillis;
            return noServer || leftMillis <= 0 || tooLong;
        });
        for (RelayCall call : unservable) {
            Refusal refusal = call.mayHaveRun()
                    ? Refusal.unknown(RefusalReason.DEADLINE)
                    : Refusal.notRun(RefusalReason.NO_SERVER, retryAfterMillis(call));
            refuse(call, refusal, steps);
        }
    }

    /** Callers that are refused together come back spread over as long retry, as they would otherwise do so together. */
    private static long retryAfterMillis(RelayCall call) {
        return RETRY_AFTER_MILLIS + Hash.below(Hash.of(call.head().attempt()), (int) RETRY_AFTER_MILLIS);
    }

    private void dispatchWaiting(ServiceId id, long nowNanos, List<RelayStep> steps) {
        Optional<RelayService> service = plan.flatMap(p -> p.service(id));
        QueueWaitEstimate waitEstimate = waitEstimate(id);
        if (service.isEmpty() || queue(id).size() == 0) {
            waitEstimate.onQueueEmpty();
            return;
        }
        // Each look at a call costs a look at each server, so none is taken once there is no room.
        int freeSlots = selector.freeSlots(service.get(), processes.senderCount(nowNanos), nowNanos);
        int before = steps.size();
        queue(id).dispatchWhile(
                        nowNanos,
                        () -> steps.size() - before < freeSlots,
                        call -> dispatch(call, service.get(), nowNanos, steps));
        waitEstimate.onDispatched(steps.size() - before);
        if (queue(id).size() == 0) {
            waitEstimate.onQueueEmpty();
        } else {
            waitEstimate.onQueueNonEmpty(nowNanos);
        }
    }

    private boolean dispatch(RelayCall call, RelayService service, long nowNanos, List<RelayStep> steps) {
        if (nowNanos - call.deadlineNanos() >= 0) {
            return false;
        }
        int senders = processes.senderCount(nowNanos);
        Optional<RelayServerSelector.Selection> selection = selector.choose(call, service, senders, nowNanos);
        if (selection.isEmpty()) {
            return false;
        }
        ServerView server = selection.get().server();
        if (server.cold(service, nowNanos) && service.coldPerSecond() > 0) {
            coldLimiter.onSent(server.server().id(), service.coldPerSecond(), senders, nowNanos);
        }
        call.send(server, selection.get().uncachedTokens(), nowNanos);
        if (service.engine().isPresent()) {
            prefixCaches.onSent(call.head().prompt(), server.server().id(), nowNanos);
        }
        int urgency = Math.min(MAX_URGENCY, BASE_URGENCY + Math.max(0, call.priority()));
        steps.add(new RelayStep.Send(
                call,
                server.server(),
                urgency,
                firstByteMillis(call, nowNanos),
                server.assumedState(service, senders, nowNanos)));
        return true;
    }

    private static long firstByteMillis(RelayCall call, long nowNanos) {
        long left = Math.max(1, (call.deadlineNanos() - nowNanos) / Moment.NANOS_PER_MILLI);
        boolean mayRetry =
                call.route().repeatable() && call.attempts() < call.route().maxAttempts();
        if (!mayRetry) {
            return left;
        }
        long firstByteTimeoutMillis = Math.max(
                MIN_FIRST_BYTE_TIMEOUT_MILLIS, Math.round(FIRST_BYTE_TIMEOUT_TARGETS * call.route().targetMillis()));
        return Math.min(left, firstByteTimeoutMillis);
    }

    private CallQueue queue(ServiceId service) {
        return queues.computeIfAbsent(service, _key -> new CallQueue());
    }

    private QueueWaitEstimate waitEstimate(ServiceId service) {
        return waitEstimates.computeIfAbsent(service, _key -> new QueueWaitEstimate());
    }

    private RelayRetryBudget retryBudget(ServiceId service) {
        return retryBudgets.computeIfAbsent(
                service,
                _key -> new RelayRetryBudget(bounds.retryRatio(), bounds.retrySlack(), bounds.retryWindowMillis()));
    }
}
