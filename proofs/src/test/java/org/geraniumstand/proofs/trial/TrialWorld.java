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
 * A trial in virtual time: controllers, fake backend servers and callers, driven by one seed.
 *
 * <p>It drives controllers by observations alone and carries out their actions. It models no process and no network
 * beyond a fixed delay of messages.
 */
public final class TrialWorld {
    private static final double LIST_EVERY_MILLIS = 500;
    private static final double LIST_LAG_MILLIS = 1_000;
    private static final double REPORT_EVERY_MILLIS = 250;
    private static final double CACHE_EVERY_MILLIS = 200;
    private static final double CACHE_LAG_MILLIS = 1_500;
    private static final double CACHE_LOST = 0.1;
    private static final double SERVER_DELAY_MILLIS = 0.5;
    private static final double CONFIGURATION_SPREAD_MILLIS = 1_000;
    private static final double LEAST_WAIT_MILLIS = 0.01;
    private static final double LATE_WORK_MILLIS = 3_000;

    private final VirtualClock clock = new VirtualClock();
    private final Random random;
    private final TrialSettings settings;
    private final List<EntryPeer> processes = new ArrayList<>();
    private final Map<ServerId, FakeServer> servers = new LinkedHashMap<>();
    private final Map<RequestId, Call> calls = new LinkedHashMap<>();
    private final Map<HostId, ReclaimNotice> notices = new HashMap<>();
    private final Map<HostId, Double> leavingSince = new HashMap<>();
    private final Map<DataCentreId, Double> outSince = new HashMap<>();
    private final Set<Long> everComputed = new HashSet<>();
    private final List<Action.RecordEvent> notes = new ArrayList<>();
    private Consumer<Call> onEnd = _call -> {};
    private Configuration configuration;
    private int newWorkToLeaving;
    private int nextRequest;

    /** One controller with what belongs to its process. */
    private static final class EntryPeer {
        private final ProcessId id;
        private final Member member;
        private final Controller controller;
        private final long clockOffset;
        private List<BackendServer> kept = List.of();

        EntryPeer(ProcessId id, Member member, Controller controller, long clockOffset) {
            this.id = id;
            this.member = member;
            this.controller = controller;
            this.clockOffset = clockOffset;
        }
    }

    /**
     * Creates a world.
     *
     * @param settings its sizes
     * @param controllers makes the controllers
     * @param seed the seed of all that is random
     */
    public TrialWorld(TrialSettings settings, TrialSettings.Controllers controllers, long seed) {
        this.settings = settings;
        this.random = new Random(seed);
        this.configuration = settings.configuration();
        for (int i = 0; i < settings.processes(); i++) {
            ProcessId id = new ProcessId("entry-" + i);
            DataCentreId home =
                    settings.dataCentres().get(i % settings.dataCentres().size());
            Member member = new Member(id, home, "127.0.0.1", 1, 1, 1, 1, false);
            Controller controller = controllers.create(id, settings.processes());
            processes.add(new EntryPeer(id, member, controller, i * 1_000_000_007L));
        }
        settings.servers().forEach(s -> addServer(s, Behaviour.GOOD, false));
    }

    /** Returns the clock, to set events of a scenario. */
    public VirtualClock clock() {
        return clock;
    }

    /** Returns the random source of the trial. */
    public Random random() {
        return random;
    }

    /** Returns all servers that were there at any time. */
    public List<FakeServer> servers() {
        return List.copyOf(servers.values());
    }

    /**
     * Finds a server.
     *
     * @param id the server
     */
    public FakeServer server(ServerId id) {
        return servers.get(id);
    }

    /** Returns all requests. */
    public List<Call> calls() {
        return List.copyOf(calls.values());
    }

    /** Returns all events for the time line. */
    public List<Action.RecordEvent> notes() {
        return List.copyOf(notes);
    }

    /** Returns the newest configuration. */
    public Configuration configuration() {
        return configuration;
    }

    /** Returns how often new work went to a server or data centre that had been leaving for three seconds. */
    public int newWorkToLeaving() {
        return newWorkToLeaving;
    }

    /**
     * Sets who hears of the end of requests.
     *
     * @param listener hears of it
     */
    public void onEnd(Consumer<Call> listener) {
        onEnd = listener;
    }

    /** Starts the processes; nothing happens before. */
    public void start() {
        for (EntryPeer process : processes) {
            tell(process, new Observation.ConfigurationAccepted(configuration));
            tell(
                    process,
                    new Observation.MembersUpdated(
                            processes.stream().map(p -> p.member).toList()));
            clock.every(random.nextDouble() * Observation.TICK_MILLIS, Observation.TICK_MILLIS, () -> {
                tell(process, new Observation.Tick());
            });
            clock.every(random.nextDouble(), LIST_EVERY_MILLIS, () -> list(process));
            clock.every(random.nextDouble() * 100, REPORT_EVERY_MILLIS, () -> report(process));
        }
        clock.every(CACHE_EVERY_MILLIS, CACHE_EVERY_MILLIS, this::passCacheEvents);
    }

    /**
     * Adds a server.
     *
     * @param listed the server as the platform lists it
     * @param behaviour how it behaves
     * @param cold whether it starts cold
     */
    public FakeServer addServer(BackendServer listed, Behaviour behaviour, boolean cold) {
        Service service = configuration.service(listed.service()).orElseThrow();
        FakeServer server = new FakeServer(
                clock, new Random(random.nextLong()), everComputed, listed, behaviour, service.coldConcurrency());
        if (cold) {
            server.turnCold();
        }
        servers.put(listed.id(), server);
        return server;
    }

    /**
     * Announces that a host is taken back, and takes it back.
     *
     * @param host the host
     * @param afterMillis how much later it goes, in milliseconds
     */
    public void reclaim(HostId host, double afterMillis) {
        long due = VirtualClock.START_EPOCH_MILLIS + Math.round(clock.millis() + afterMillis);
        notices.put(host, new ReclaimNotice(host, due));
        leavingSince.put(host, clock.millis());
        clock.after(afterMillis, () -> {
            servers.values().stream()
                    .filter(s -> s.listed().host().equals(host))
                    .forEach(FakeServer::kill);
            clock.after(LIST_LAG_MILLIS, () -> notices.remove(host));
        });
    }

    /**
     * Brings a configuration into force, at each process after a delay of its own.
     *
     * @param next the configuration; its generation is set
     */
    public void configure(Configuration next) {
        configuration = next.withGeneration(configuration.generation() + 1);
        Configuration accepted = configuration;
        accepted.dataCentresOut().forEach(out -> outSince.putIfAbsent(out, clock.millis()));
        outSince.keySet().retainAll(accepted.dataCentresOut());
        for (EntryPeer process : processes) {
            double delay = random.nextDouble() * CONFIGURATION_SPREAD_MILLIS;
            clock.after(delay, () -> tell(process, new Observation.ConfigurationAccepted(accepted)));
        }
    }

    /**
     * Tells one process something.
     *
     * @param process its number, from 0
     * @param observation what it sees
     */
    public void tell(int process, Observation observation) {
        tell(processes.get(process), observation);
    }

    /**
     * Sends a request of a caller to a process that the balancer picks.
     *
     * @param template the request; its id and deadline are set
     * @param timeoutMillis how long the caller waits, in milliseconds
     * @param answerTokens tokens that the answer has
     */
    public Call send(RequestInfo template, double timeoutMillis, int answerTokens) {
        int at = random.nextInt(processes.size());
        EntryPeer process = processes.get(at);
        Timestamp now = clock.moment(process.clockOffset);
        RequestInfo facts = new RequestInfo(
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
        Call call = new Call(facts, at, clock.millis(), answerTokens);
        calls.put(facts.id(), call);
        tell(process, new Observation.RequestArrived(facts));
        clock.after(timeoutMillis, () -> giveUp(process, call));
        return call;
    }

    private void giveUp(EntryPeer process, Call call) {
        if (call.ended()) {
            return;
        }
        call.refusal = Refusal.unknown(RefusalReason.DEADLINE);
        end(call);
        tell(process, new Observation.CallerDisconnected(call.facts.id()));
    }

    private void tell(EntryPeer process, Observation observation) {
        process.controller
                .on(observation, clock.moment(process.clockOffset))
                .forEach(action -> carryOut(process, action));
    }

    private void list(EntryPeer process) {
        List<BackendServer> seen = servers.values().stream()
                .filter(s -> !s.dead())
                .map(FakeServer::listed)
                .toList();
        clock.after(LIST_LAG_MILLIS, () -> tell(process, new Observation.ServersListed(seen)));
        tell(process, new Observation.ReclaimNoticesRead(List.copyOf(notices.values())));
    }

    private void report(EntryPeer process) {
        for (BackendServer kept : process.kept) {
            FakeServer server = servers.get(kept.id());
            if (server == null || server.dead()) {
                tell(process, new Observation.LoadPollFailed(kept.id()));
                continue;
            }
            LoadReport now = server.report();
            double lag = settings.reportLagMillis() * (0.5 + random.nextDouble());
            LoadReport late =
                    new LoadReport(now.running(), now.waiting(), now.warm(), now.cachedTokens(), Math.round(lag));
            clock.after(lag, () -> tell(process, new Observation.LoadReported(kept.id(), late)));
        }
    }

    private void passCacheEvents() {
        for (FakeServer server : servers.values()) {
            for (CacheEvent event : server.takeEvents()) {
                if (random.nextDouble() < CACHE_LOST) {
                    continue;
                }
                double lag = CACHE_LAG_MILLIS * random.nextDouble();
                clock.after(lag, () -> processes.forEach(p -> tell(p, new Observation.CacheChanged(event))));
            }
        }
    }

    private void carryOut(EntryPeer process, Action action) {
        if (action instanceof Action.Dispatch dispatch) {
            dispatch(process, dispatch);
        } else if (action instanceof Action.CancelAttempt cancel) {
            stopWork(calls.get(cancel.request()));
        } else if (action instanceof Action.Refuse refuse) {
            Call call = calls.get(refuse.request());
            call.refusal = refuse.refusal();
            end(call);
        } else if (action instanceof Action.PollServers keep) {
            process.kept = keep.servers();
        } else if (action instanceof Action.RecordEvent note) {
            notes.add(note);
        } else if (action instanceof Action.EndMove end) {
            endMove(end);
        } else {
            sendToPeers(process, action);
        }
    }

    private void sendToPeers(EntryPeer from, Action action) {
        if (action instanceof Action.SendGrants grants) {
            deliver(grants.to(), new Observation.GrantsReceived(from.id, grants.grants()));
        } else if (action instanceof Action.SendDemands demands) {
            deliver(demands.keeper(), new Observation.DemandsReceived(demands.demands()));
        } else if (action instanceof Action.ShareEvidence evidence) {
            broadcast(from, new Observation.EvidenceReceived(evidence.rows()));
        } else if (action instanceof Action.ShareBadVersion mark) {
            broadcast(from, new Observation.BadVersionsReceived(List.of(mark.mark())));
        }
    }

    private void broadcast(EntryPeer from, Observation observation) {
        processes.stream().filter(p -> p != from).forEach(p -> deliver(p.id, observation));
    }

    private void deliver(ProcessId to, Observation observation) {
        Optional<EntryPeer> target =
                processes.stream().filter(p -> p.id.equals(to)).findFirst();
        target.ifPresent(p -> clock.after(settings.peerDelayMillis(), () -> tell(p, observation)));
    }

    private void endMove(Action.EndMove end) {
        Configuration next = MoveEndRecorder.apply(configuration, end.move(), end.end(), end.reason());
        if (!next.equals(configuration)) {
            configure(next);
        }
    }

    private void dispatch(EntryPeer process, Action.Dispatch dispatch) {
        Call call = calls.get(dispatch.request());
        boolean sourceAlive = call.server != null && !call.server.dead();
        stopWork(call);
        FakeServer server = servers.get(dispatch.server().id());
        countLateWork(server);
        boolean copied = dispatch.transfer() == Action.Transfer.KV_CACHE && sourceAlive;
        call.attempt = dispatch.attempt();
        call.attempts++;
        call.server = server;
        call.dispatchedMillis = clock.millis();
        call.lastByteMillis = clock.millis();
        AttemptRelay relay = new AttemptRelay(this, call, dispatch.attempt(), seen -> tell(process, seen));
        int left = Math.max(1, call.answerTokens - call.relayed);
        Work work = new Work(call.facts, left, call.relayed, copied, relay);
        call.work = work;
        watch(process, call, dispatch, relay);
        clock.after(SERVER_DELAY_MILLIS, () -> {
            if (call.work == work) {
                call.runs += server.dead() ? 0 : 1;
                server.accept(work);
            }
        });
    }

    private void countLateWork(FakeServer server) {
        double since = leavingSince.getOrDefault(server.listed().host(), Double.MAX_VALUE);
        double out = outSince.getOrDefault(server.listed().dataCentre(), Double.MAX_VALUE);
        if (clock.millis() - Math.min(since, out) > LATE_WORK_MILLIS) {
            newWorkToLeaving++;
        }
    }

    private void watch(EntryPeer process, Call call, Action.Dispatch dispatch, AttemptRelay relay) {
        boolean started = call.lastByteMillis > call.dispatchedMillis;
        double limit = started
                ? dispatch.limits().betweenBytesMillis()
                : dispatch.limits().firstByteMillis();
        double left = call.lastByteMillis + limit - clock.millis();
        if (left < LEAST_WAIT_MILLIS) {
            stopWork(call);
            relay.silent();
            return;
        }
        clock.after(left, () -> {
            if (!call.ended() && call.attempt == dispatch.attempt() && call.work != null) {
                watch(process, call, dispatch, relay);
            }
        });
    }

    private void stopWork(Call call) {
        if (call.work != null) {
            call.server.cancel(call.work);
            call.work = null;
        }
    }

    VirtualClock time() {
        return clock;
    }

    void end(Call call) {
        call.endMillis = clock.millis();
        stopWork(call);
        onEnd.accept(call);
    }
}
