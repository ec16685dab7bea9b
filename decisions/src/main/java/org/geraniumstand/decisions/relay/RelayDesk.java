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
    private static final int MOST_URGENCY = 9;

    /** Urgency of the highest rank; the ranks below follow. */
    private static final int FIRST_URGENCY = 3;

    /** When a caller is told to come back if no server takes its call, in milliseconds; a server boots for seconds. */
    private static final long COME_BACK_MILLIS = 400;

    /** Times its target that a repeatable call may be without a first byte before another server gets it. */
    private static final double SILENCE_TARGETS = 2.0;

    private static final long LEAST_SILENCE_MILLIS = 600;

    private final RelayBounds bounds;
    private final RelayFleet fleet = new RelayFleet();
    private final PromptHomes prompts = new PromptHomes();
    private final ProcessCount processes;
    private final ColdPace pace;
    private final QuotaBook quotas;
    private final RelayChoice choice;
    private final Map<ServiceId, WaitingCalls> waiting = new HashMap<>();
    private final Map<ServiceId, RepeatAllowance> allowances = new HashMap<>();
    private final Map<ServiceId, WaitForecast> forecasts = new HashMap<>();
    private Optional<RelayPlan> plan = Optional.empty();

    /**
     * Creates a desk without a plan.
     *
     * @param home the data centre of this process
     * @param bounds the bounds that must hold
     * @param random differs between processes
     * @param nowNanos the monotonic time in nanoseconds
     */
    public RelayDesk(DataCentreId home, RelayBounds bounds, Random random, long nowNanos) {
        this.bounds = bounds;
        this.processes = new ProcessCount(bounds.processesAssumed(), nowNanos);
        this.quotas = new QuotaBook(bounds.quotaSlack(), bounds.quotaOverrun(), processes);
        this.pace = new ColdPace(random);
        this.choice = new RelayChoice(home, fleet, prompts, pace);
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
    public QuotaBook quotas() {
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
        OptionalLong wait = quotas.spend(team.get(), QuotaBook.cost(team.get(), head), nowNanos);
        return wait.isPresent()
                ? Optional.of(Refusal.notRun(RefusalReason.OVER_QUOTA, wait.getAsLong()))
                : Optional.empty();
    }

    /** Returns the count of processes that share limits. */
    public ProcessCount processes() {
        return processes;
    }

    /** Returns the number of calls of a service that wait. */
    public int waiting(ServiceId service) {
        return line(service).size();
    }

    /** Returns whether any call waits. */
    public boolean anyWaiting() {
        return waiting.values().stream().anyMatch(line -> line.size() > 0);
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
        ServiceId service = service(call);
        call.toService(service);
        allowance(service).onRequest(nowNanos);
        if (plan.flatMap(p -> p.service(service)).isEmpty() || !choice.any(service)) {
            refuse(call, Refusal.notRun(RefusalReason.NO_SERVER, comeBackMillis(call)), steps);
            return;
        }
        line(service).add(call);
        drain(service, nowNanos, steps);
        refuseHopeless(service, nowNanos, steps);
    }

    /** A route with several services deals its calls out by the hash of the attempt. */
    private static ServiceId service(RelayCall call) {
        RelayRoute route = call.route();
        int total = route.shares().stream().mapToInt(ServiceShare::weight).sum();
        int point = total <= 0 ? 0 : Hash.below(Hash.of(call.head().attempt()), total);
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
     * @param load the server's load, if it told
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onStarted(RelayCall call, Optional<ServerLoad> load, long nowNanos) {
        ServerView server = call.server();
        call.start(nowNanos);
        if (server != null) {
            load.ifPresent(told -> server.onLoad(told, nowNanos));
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
        if (call.server() == null || fleet.takes(call.server())) {
            return false;
        }
        call.withdraw();
        if (choice.any(call.service())) {
            line(call.service()).add(call);
        } else {
            refuse(call, refusal(call, AttemptEnd.NOT_CONNECTED), steps);
        }
        drain(call.service(), nowNanos, steps);
        refuseHopeless(call.service(), nowNanos, steps);
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
        if (server != null && server.unwell(end)) {
            server.pause(nowNanos);
            if (end != AttemptEnd.SILENT) {
                // A server that is silent is busy more often than gone.
                server.onLost(nowNanos);
            }
        }
        if (end != AttemptEnd.ANSWERED && end != AttemptEnd.CANCELLED) {
            afterFailure(call, end, nowNanos, steps);
        }
        drain(call.service(), nowNanos, steps);
    }

    private void afterFailure(RelayCall call, AttemptEnd end, long nowNanos, List<RelayStep> steps) {
        boolean again = RepeatRule.test(call, end, nowNanos)
                && choice.any(call.service())
                && allowance(call.service()).spend(processes.sending(nowNanos), nowNanos);
        if (again) {
            line(call.service()).add(call);
            return;
        }
        refuse(call, refusal(call, end), steps);
    }

    private void refuse(RelayCall call, Refusal refusal, List<RelayStep> steps) {
        if (!call.mayHaveRun()) {
            call.team().ifPresent(team -> quotas.refund(team, QuotaBook.cost(team, call.head())));
        }
        steps.add(new RelayStep.Refuse(call, refusal));
    }

    private static Refusal refusal(RelayCall call, AttemptEnd end) {
        if (!call.mayHaveRun()) {
            return Refusal.notRun(RefusalReason.NO_SERVER, comeBackMillis(call));
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
        line(call.service()).remove(call);
        call.release(true);
        drain(call.service(), nowNanos, steps);
    }

    /**
     * Lets time pass.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @param steps filled with what is to be done
     */
    public void onTick(long nowNanos, List<RelayStep> steps) {
        for (ServiceId service : List.copyOf(waiting.keySet())) {
            drain(service, nowNanos, steps);
            refuseHopeless(service, nowNanos, steps);
        }
    }

    /** Refuses the waiting calls that are not expected to get a place before their deadline. */
    private void refuseHopeless(ServiceId service, long nowNanos, List<RelayStep> steps) {
        WaitingCalls line = line(service);
        if (line.size() == 0) {
            return;
        }
        boolean noServer = !choice.any(service);
        WaitForecast forecast = forecast(service);
        List<RelayCall> hopeless = line.removeIf((ahead, call) -> {
            long leftMillis = (call.deadlineNanos() - nowNanos) / Moment.NANOS_PER_MILLI;
            // What was passed on already is lost with a refusal, so such a call waits to the end.
            boolean tooLong = !call.relayed() && forecast.waitMillis(ahead, nowNanos) > leftMillis;
            return noServer || leftMillis <= 0 || tooLong;
        });
        for (RelayCall call : hopeless) {
            Refusal refusal = call.mayHaveRun()
                    ? Refusal.unknown(RefusalReason.DEADLINE)
                    : Refusal.notRun(RefusalReason.NO_SERVER, comeBackMillis(call));
            refuse(call, refusal, steps);
        }
    }

    /** Callers that are refused together come back spread over as long again, as they would otherwise do so together. */
    private static long comeBackMillis(RelayCall call) {
        return COME_BACK_MILLIS + Hash.below(Hash.of(call.head().attempt()), (int) COME_BACK_MILLIS);
    }

    private void drain(ServiceId id, long nowNanos, List<RelayStep> steps) {
        Optional<RelayService> service = plan.flatMap(p -> p.service(id));
        WaitForecast forecast = forecast(id);
        if (service.isEmpty() || line(id).size() == 0) {
            forecast.onRoom();
            return;
        }
        // Each look at a call costs a look at each server, so none is taken once there is no room.
        int places = choice.places(service.get(), processes.sending(nowNanos), nowNanos);
        int before = steps.size();
        line(id).offerWhile(
                        nowNanos,
                        () -> steps.size() - before < places,
                        call -> place(call, service.get(), nowNanos, steps));
        forecast.onPlaced(steps.size() - before);
        if (line(id).size() == 0) {
            forecast.onRoom();
        } else {
            forecast.onFull(nowNanos);
        }
    }

    private boolean place(RelayCall call, RelayService service, long nowNanos, List<RelayStep> steps) {
        if (nowNanos - call.deadlineNanos() >= 0) {
            return false;
        }
        int sharing = processes.sending(nowNanos);
        Optional<RelayChoice.Chosen> chosen = choice.choose(call, service, sharing, nowNanos);
        if (chosen.isEmpty()) {
            return false;
        }
        ServerView server = chosen.get().server();
        if (server.cold(service, nowNanos) && service.coldPerSecond() > 0) {
            pace.onSent(server.server().id(), service.coldPerSecond(), sharing, nowNanos);
        }
        call.send(server, chosen.get().unreadTokens(), nowNanos);
        if (service.engine().isPresent()) {
            prompts.onSent(call.head().prompt(), server.server().id(), nowNanos);
        }
        int urgency = Math.min(MOST_URGENCY, FIRST_URGENCY + Math.max(0, call.priority()));
        steps.add(new RelayStep.Send(
                call,
                server.server(),
                urgency,
                firstByteMillis(call, nowNanos),
                server.belief(service, sharing, nowNanos)));
        return true;
    }

    private static long firstByteMillis(RelayCall call, long nowNanos) {
        long left = Math.max(1, (call.deadlineNanos() - nowNanos) / Moment.NANOS_PER_MILLI);
        boolean mayGoOn =
                call.route().repeatable() && call.attempts() < call.route().maxAttempts();
        if (!mayGoOn) {
            return left;
        }
        long patience = Math.max(
                LEAST_SILENCE_MILLIS, Math.round(SILENCE_TARGETS * call.route().targetMillis()));
        return Math.min(left, patience);
    }

    private WaitingCalls line(ServiceId service) {
        return waiting.computeIfAbsent(service, _key -> new WaitingCalls());
    }

    private WaitForecast forecast(ServiceId service) {
        return forecasts.computeIfAbsent(service, _key -> new WaitForecast());
    }

    private RepeatAllowance allowance(ServiceId service) {
        return allowances.computeIfAbsent(
                service,
                _key -> new RepeatAllowance(bounds.repeatRatio(), bounds.repeatSlack(), bounds.repeatWindowMillis()));
    }
}
