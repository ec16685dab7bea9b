package org.geraniumstand.proofs.trial;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.decisions.moves.MoveEndRecorder;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.fleet.CacheEvent;
import org.geraniumstand.model.fleet.LoadReport;
import org.geraniumstand.model.fleet.ReclaimNotice;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.request.RequestInfo;
import org.geraniumstand.model.time.Timestamp;

/**
 * Simulates controllers, backend servers and callers in virtual time, with all randomness derived from one seed.
 *
 * <p>Controllers receive only observations, and the simulation executes their actions. It models no operating system
 * process, and no network beyond a fixed message delay.
 */
public final class TrialSimulation {
    private static final double LIST_INTERVAL_MILLIS = 500;
    private static final double LIST_LAG_MILLIS = 1_000;
    private static final double REPORT_INTERVAL_MILLIS = 250;
    private static final double CACHE_EVENT_INTERVAL_MILLIS = 200;
    private static final double MAX_CACHE_EVENT_LAG_MILLIS = 1_500;
    private static final double CACHE_EVENT_LOSS_RATE = 0.1;
    private static final double SERVER_DELAY_MILLIS = 0.5;
    private static final double CONFIGURATION_SPREAD_MILLIS = 1_000;
    private static final double MIN_WAIT_MILLIS = 0.01;
    private static final double LATE_DISPATCH_MILLIS = 3_000;

    private final VirtualClock clock = new VirtualClock();
    private final Random random;
    private final TrialSettings settings;
    private final List<SimulatedProcess> processes = new ArrayList<>();
    private final Map<ServerId, FakeServer> servers = new LinkedHashMap<>();
    private final Map<RequestId, Call> calls = new LinkedHashMap<>();
    private final Map<HostId, ReclaimNotice> notices = new HashMap<>();
    private final Map<HostId, Double> drainingSince = new HashMap<>();
    private final Map<DataCentreId, Double> outOfServiceSince = new HashMap<>();
    private final Set<Long> computedBlocks = new HashSet<>();
    private final List<Action.RecordEvent> recordedEvents = new ArrayList<>();
    private Consumer<Call> onEnd = _call -> {};
    private Configuration configuration;
    private int lateDispatchCount;
    private int nextRequest;

    /** Holds one controller with the state of its process. */
    private static final class SimulatedProcess {
        private final ProcessId id;
        private final Member member;
        private final Controller controller;
        private final long clockOffset;
        private List<BackendServer> polledServers = List.of();

        SimulatedProcess(ProcessId id, Member member, Controller controller, long clockOffset) {
            this.id = id;
            this.member = member;
            this.controller = controller;
            this.clockOffset = clockOffset;
        }
    }

    /**
     * Creates a simulation.
     *
     * @param settings deployment to simulate
     * @param controllers creates the controllers
     * @param seed seed of the random source
     */
    public TrialSimulation(TrialSettings settings, TrialSettings.Controllers controllers, long seed) {
        this.settings = settings;
        this.random = new Random(seed);
        this.configuration = settings.configuration();
        for (int i = 0; i < settings.processes(); i++) {
            ProcessId id = new ProcessId("entry-" + i);
            DataCentreId processDataCentre =
                    settings.dataCentres().get(i % settings.dataCentres().size());
            Member member = new Member(id, processDataCentre, "127.0.0.1", 1, 1, 1, 1, false);
            Controller controller = controllers.create(id, settings.processes());
            processes.add(new SimulatedProcess(id, member, controller, i * 1_000_000_007L));
        }
        settings.servers().forEach(s -> addServer(s, Behaviour.HEALTHY, false));
    }

    /** Returns the clock, for scheduling the events of a scenario. */
    public VirtualClock clock() {
        return clock;
    }

    /** Returns the random source of the trial. */
    public Random random() {
        return random;
    }

    /** Returns all servers of the trial, including terminated ones. */
    public List<FakeServer> servers() {
        return List.copyOf(servers.values());
    }

    /**
     * Returns a server.
     *
     * @param id id of the server
     */
    public FakeServer server(ServerId id) {
        return servers.get(id);
    }

    /** Returns all requests in the order in which they were sent. */
    public List<Call> calls() {
        return List.copyOf(calls.values());
    }

    /** Returns all events that controllers recorded on the timeline. */
    public List<Action.RecordEvent> recordedEvents() {
        return List.copyOf(recordedEvents);
    }

    /** Returns the newest configuration. */
    public Configuration configuration() {
        return configuration;
    }

    /** Returns the number of dispatches to servers and data centres that had been draining for over three seconds. */
    public int lateDispatchCount() {
        return lateDispatchCount;
    }

    /**
     * Sets the listener that is called when a request ends.
     *
     * @param listener receives each request that ends
     */
    public void onEnd(Consumer<Call> listener) {
        onEnd = listener;
    }

    /** Starts the processes; no events occur before. */
    public void start() {
        for (SimulatedProcess process : processes) {
            notifyProcess(process, new Observation.ConfigurationAccepted(configuration));
            notifyProcess(
                    process,
                    new Observation.MembersUpdated(
                            processes.stream().map(p -> p.member).toList()));
            clock.every(random.nextDouble() * Observation.TICK_MILLIS, Observation.TICK_MILLIS, () -> {
                notifyProcess(process, new Observation.Tick());
            });
            clock.every(random.nextDouble(), LIST_INTERVAL_MILLIS, () -> listServers(process));
            clock.every(random.nextDouble() * 100, REPORT_INTERVAL_MILLIS, () -> report(process));
        }
        clock.every(CACHE_EVENT_INTERVAL_MILLIS, CACHE_EVENT_INTERVAL_MILLIS, this::forwardCacheEvents);
    }

    /**
     * Adds a server.
     *
     * @param listed listing of the server on the platform
     * @param behaviour behaviour of its version
     * @param cold whether the server starts cold
     */
    public FakeServer addServer(BackendServer listed, Behaviour behaviour, boolean cold) {
        Service service = configuration.service(listed.service()).orElseThrow();
        FakeServer server = new FakeServer(
                clock, new Random(random.nextLong()), computedBlocks, listed, behaviour, service.coldConcurrency());
        if (cold) {
            server.becomeCold();
        }
        servers.put(listed.id(), server);
        return server;
    }

    /**
     * Announces the reclaim of a host and terminates its servers after the notice period.
     *
     * @param host host to reclaim
     * @param afterMillis notice period, in milliseconds
     */
    public void reclaim(HostId host, double afterMillis) {
        long due = VirtualClock.START_EPOCH_MILLIS + Math.round(clock.millis() + afterMillis);
        notices.put(host, new ReclaimNotice(host, due));
        drainingSince.put(host, clock.millis());
        clock.after(afterMillis, () -> {
            servers.values().stream()
                    .filter(s -> s.listed().host().equals(host))
                    .forEach(FakeServer::terminate);
            clock.after(LIST_LAG_MILLIS, () -> notices.remove(host));
        });
    }

    /**
     * Distributes a configuration to all processes, to each after a random delay.
     *
     * @param next new configuration; its generation is replaced by the next one
     */
    public void configure(Configuration next) {
        configuration = next.withGeneration(configuration.generation() + 1);
        Configuration accepted = configuration;
        accepted.dataCentresOut().forEach(out -> outOfServiceSince.putIfAbsent(out, clock.millis()));
        outOfServiceSince.keySet().retainAll(accepted.dataCentresOut());
        for (SimulatedProcess process : processes) {
            double delay = random.nextDouble() * CONFIGURATION_SPREAD_MILLIS;
            clock.after(delay, () -> notifyProcess(process, new Observation.ConfigurationAccepted(accepted)));
        }
    }

    /**
     * Delivers an observation to one process.
     *
     * @param process number of the process, from 0
     * @param observation observation to deliver
     */
    public void notifyProcess(int process, Observation observation) {
        notifyProcess(processes.get(process), observation);
    }

    /**
     * Sends a request to a randomly selected process, as a load balancer does.
     *
     * @param template properties of the request; its id and deadline are replaced
     * @param timeoutMillis caller's timeout, in milliseconds
     * @param answerTokens number of tokens in the answer
     */
    public Call send(RequestInfo template, double timeoutMillis, int answerTokens) {
        int processIndex = random.nextInt(processes.size());
        SimulatedProcess process = processes.get(processIndex);
        Timestamp now = clock.timestamp(process.clockOffset);
        RequestInfo requestInfo = new RequestInfo(
                new RequestId("r" + nextRequest++),
                template.team(),
                template.service(),
                template.route(),
                template.idempotent(),
                template.streaming(),
                template.priority(),
                now.nanos() + Math.round(timeoutMillis * Timestamp.NANOS_PER_MILLI),
                template.promptTokens(),
                template.answerTokens(),
                template.prefixBlocks());
        Call call = new Call(requestInfo, processIndex, clock.millis(), answerTokens);
        calls.put(requestInfo.id(), call);
        notifyProcess(process, new Observation.RequestArrived(requestInfo));
        clock.after(timeoutMillis, () -> timeOutCall(process, call));
        return call;
    }

    private void timeOutCall(SimulatedProcess process, Call call) {
        if (call.ended()) {
            return;
        }
        call.refusal = Refusal.unknown(RefusalReason.DEADLINE);
        end(call);
        notifyProcess(process, new Observation.CallerDisconnected(call.requestInfo.id()));
    }

    private void notifyProcess(SimulatedProcess process, Observation observation) {
        process.controller
                .handle(observation, clock.timestamp(process.clockOffset))
                .forEach(action -> execute(process, action));
    }

    private void listServers(SimulatedProcess process) {
        List<BackendServer> observed = servers.values().stream()
                .filter(s -> !s.terminated())
                .map(FakeServer::listed)
                .toList();
        clock.after(LIST_LAG_MILLIS, () -> notifyProcess(process, new Observation.ServersListed(observed)));
        notifyProcess(process, new Observation.ReclaimNoticesRead(List.copyOf(notices.values())));
    }

    private void report(SimulatedProcess process) {
        for (BackendServer polled : process.polledServers) {
            FakeServer server = servers.get(polled.id());
            if (server == null || server.terminated()) {
                notifyProcess(process, new Observation.LoadPollFailed(polled.id()));
                continue;
            }
            LoadReport now = server.report();
            double lag = settings.reportLagMillis() * (0.5 + random.nextDouble());
            LoadReport late =
                    new LoadReport(now.running(), now.waiting(), now.warm(), now.cachedTokens(), Math.round(lag));
            clock.after(lag, () -> notifyProcess(process, new Observation.LoadReported(polled.id(), late)));
        }
    }

    private void forwardCacheEvents() {
        for (FakeServer server : servers.values()) {
            for (CacheEvent event : server.takeEvents()) {
                if (random.nextDouble() < CACHE_EVENT_LOSS_RATE) {
                    continue;
                }
                double lag = MAX_CACHE_EVENT_LAG_MILLIS * random.nextDouble();
                clock.after(lag, () -> processes.forEach(p -> notifyProcess(p, new Observation.CacheChanged(event))));
            }
        }
    }

    private void execute(SimulatedProcess process, Action action) {
        if (action instanceof Action.Dispatch dispatch) {
            dispatch(process, dispatch);
        } else if (action instanceof Action.CancelAttempt cancel) {
            cancelWork(calls.get(cancel.request()));
        } else if (action instanceof Action.Refuse refuse) {
            Call call = calls.get(refuse.request());
            call.refusal = refuse.refusal();
            end(call);
        } else if (action instanceof Action.PollServers poll) {
            process.polledServers = poll.servers();
        } else if (action instanceof Action.RecordEvent recordEvent) {
            recordedEvents.add(recordEvent);
        } else if (action instanceof Action.EndMove end) {
            endMove(end);
        } else {
            sendToPeers(process, action);
        }
    }

    private void sendToPeers(SimulatedProcess from, Action action) {
        if (action instanceof Action.SendGrants grants) {
            deliver(grants.recipient(), new Observation.GrantsReceived(from.id, grants.grants()));
        } else if (action instanceof Action.SendDemands demands) {
            deliver(demands.owner(), new Observation.DemandsReceived(demands.demands()));
        } else if (action instanceof Action.ShareEvidence evidence) {
            broadcast(from, new Observation.EvidenceReceived(evidence.rows()));
        } else if (action instanceof Action.ShareBadVersion mark) {
            broadcast(from, new Observation.BadVersionsReceived(List.of(mark.badVersion())));
        }
    }

    private void broadcast(SimulatedProcess from, Observation observation) {
        processes.stream().filter(p -> p != from).forEach(p -> deliver(p.id, observation));
    }

    private void deliver(ProcessId to, Observation observation) {
        Optional<SimulatedProcess> target =
                processes.stream().filter(p -> p.id.equals(to)).findFirst();
        target.ifPresent(p -> clock.after(settings.peerDelayMillis(), () -> notifyProcess(p, observation)));
    }

    private void endMove(Action.EndMove end) {
        Configuration next = MoveEndRecorder.apply(configuration, end.move(), end.finalState(), end.reason());
        if (!next.equals(configuration)) {
            configure(next);
        }
    }

    private void dispatch(SimulatedProcess process, Action.Dispatch dispatch) {
        Call call = calls.get(dispatch.request());
        boolean sourceAlive = call.server != null && !call.server.terminated();
        cancelWork(call);
        FakeServer server = servers.get(dispatch.server().id());
        countLateDispatch(server);
        boolean kvCacheCopied = dispatch.transfer() == Action.Transfer.KV_CACHE && sourceAlive;
        call.attempt = dispatch.attempt();
        call.attempts++;
        call.server = server;
        call.dispatchedMillis = clock.millis();
        call.lastByteMillis = clock.millis();
        AttemptObserver observer =
                new AttemptObserver(this, call, dispatch.attempt(), observed -> notifyProcess(process, observed));
        int left = Math.max(1, call.answerTokens - call.relayed);
        ServerAttempt serverAttempt = new ServerAttempt(call.requestInfo, left, call.relayed, kvCacheCopied, observer);
        call.serverAttempt = serverAttempt;
        watchResponseTimeout(process, call, dispatch, observer);
        clock.after(SERVER_DELAY_MILLIS, () -> {
            if (call.serverAttempt == serverAttempt) {
                call.executions += server.terminated() ? 0 : 1;
                server.accept(serverAttempt);
            }
        });
    }

    private void countLateDispatch(FakeServer server) {
        double since = drainingSince.getOrDefault(server.listed().host(), Double.MAX_VALUE);
        double out = outOfServiceSince.getOrDefault(server.listed().dataCentre(), Double.MAX_VALUE);
        if (clock.millis() - Math.min(since, out) > LATE_DISPATCH_MILLIS) {
            lateDispatchCount++;
        }
    }

    private void watchResponseTimeout(
            SimulatedProcess process, Call call, Action.Dispatch dispatch, AttemptObserver observer) {
        boolean started = call.lastByteMillis > call.dispatchedMillis;
        double limit = started
                ? dispatch.limits().betweenBytesMillis()
                : dispatch.limits().firstByteMillis();
        double left = call.lastByteMillis + limit - clock.millis();
        if (left < MIN_WAIT_MILLIS) {
            cancelWork(call);
            observer.onResponseTimeout();
            return;
        }
        clock.after(left, () -> {
            if (!call.ended() && call.attempt == dispatch.attempt() && call.serverAttempt != null) {
                watchResponseTimeout(process, call, dispatch, observer);
            }
        });
    }

    private void cancelWork(Call call) {
        if (call.serverAttempt != null) {
            call.server.cancel(call.serverAttempt);
            call.serverAttempt = null;
        }
    }

    VirtualClock virtualClock() {
        return clock;
    }

    void end(Call call) {
        call.endMillis = clock.millis();
        cancelWork(call);
        onEnd.accept(call);
    }
}
