package org.geraniumstand.proofs.moves;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.moves.MoveEndRecorder;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.MoveState;
import org.geraniumstand.model.config.Preset;
import org.geraniumstand.model.config.Priority;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.ServiceKind;
import org.geraniumstand.model.config.VersionMove;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.PresetId;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.AttemptResult;
import org.geraniumstand.model.request.RequestInfo;

/** Simulates entry processes, backend servers of two versions, and requests that arrive at random times. */
final class MoveSimulation {
    static final int PROCESSES = 8;
    static final String RARE_ROUTE = "export";

    private static final VersionId OLD = new VersionId("v1");
    private static final VersionId NEW = new VersionId("v2");
    private static final int DATA_CENTRES = 3;
    private static final int OLD_SERVERS = 9;
    private static final int FIRST_SHARE_PERCENT = 5;
    private static final int TICK_MILLIS = 100;
    private static final int DEADLINE_MILLIS = 30_000;
    private static final int MAX_ATTEMPTS = 3;
    private static final int RETRY_MILLIS = 50;
    private static final int MAX_WAIT_MILLIS = 5_000;
    private static final int VISIBLE_GRACE_MILLIS = 2_000;
    private static final int WARMTH_LAG_MILLIS = 500;
    private static final double SLOW_MILLIS = 400;
    private static final long DRAIN_MILLIS = 20_000;

    private final VirtualTimeScheduler clock = new VirtualTimeScheduler();
    private final Random random;
    private final Scenario scenario;
    private final Policy policy;
    private final List<FakeServer> servers = new ArrayList<>();
    private final Map<Pool, List<FakeServer>> pools = new HashMap<>();
    private final Map<ServiceId, MoveResult> results = new HashMap<>();
    private final Map<ServiceId, Visibility> visibilities = new HashMap<>();
    private final Map<ServerId, Boolean> lastReportedWarmth = new HashMap<>();
    private final Set<DataCentreId> dataCentresOutOfService = new HashSet<>();
    private Configuration stored;
    private long requests;

    private record Pool(ServiceId service, VersionId version) {}

    private record SimulatedAttempt(RequestInfo requestInfo, int process, int attempt, long waitedMillis) {}

    MoveSimulation(
            Scenario scenario, long seed, BiFunction<VirtualTimeScheduler, Consumer<Action.EndMove>, Policy> policies) {
        this.scenario = scenario;
        this.random = new Random(seed);
        this.policy = policies.apply(clock, this::endMove);
        this.stored = configuration();
        for (Service service : stored.services()) {
            results.put(service.id(), new MoveResult());
            visibilities.put(service.id(), new Visibility());
            addServers(service.id(), OLD, OLD_SERVERS, Behaviour.HEALTHY, true);
            Behaviour next = scenario.moves().get(indexOf(service.id()));
            addServers(service.id(), NEW, scenario.newServers(), next, !scenario.newServersCold());
        }
    }

    static MoveSimulation withControllers(Scenario scenario, long seed) {
        return new MoveSimulation(
                scenario, seed, (clock, store) -> new ControllerPolicy(clock, new Random(~seed), PROCESSES, store));
    }

    static MoveSimulation withLinearRamp(Scenario scenario, long seed) {
        return new MoveSimulation(scenario, seed, LinearRamp::new);
    }

    /** Runs the trial and returns the result of each move. */
    List<MoveResult> run() {
        publishFleet();
        IntStream.range(0, PROCESSES).forEach(i -> policy.updateConfiguration(i, stored));
        IntStream.range(0, PROCESSES)
                .forEach(i ->
                        clock.after(random.nextInt(TICK_MILLIS), () -> clock.every(TICK_MILLIS, () -> policy.tick(i))));
        clock.every(WARMTH_LAG_MILLIS, this::reportWarmth);
        stored.services().forEach(service -> arrive(service.id()));
        if (scenario.withdrawAtMillis() >= 0) {
            clock.after(
                    scenario.withdrawAtMillis(),
                    () -> apply(new Action.EndMove(
                            stored.moves().get(0).id(), MoveState.WITHDRAWN, "withdrawn by the operator")));
        }
        if (scenario.faultsScheduled()) {
            FaultSchedule.schedule(this, clock, random, scenario.lengthMillis());
        }
        clock.runUntil(scenario.lengthMillis());
        results.forEach(this::checkAgreement);
        results.forEach((service, result) ->
                result.visibleMillis = visibilities.get(service).millis());
        clock.runUntil(scenario.lengthMillis() + DRAIN_MILLIS);
        return stored.services().stream().map(s -> results.get(s.id())).toList();
    }

    List<FakeServer> servers() {
        return servers;
    }

    Policy policy() {
        return policy;
    }

    void takeOutOfService(DataCentreId dataCentre) {
        dataCentresOutOfService.add(dataCentre);
        clock.after(WARMTH_LAG_MILLIS, this::publishFleet);
    }

    void returnToService(DataCentreId dataCentre) {
        dataCentresOutOfService.remove(dataCentre);
        servers.stream().filter(s -> s.listed().dataCentre().equals(dataCentre)).forEach(FakeServer::becomeCold);
        clock.after(WARMTH_LAG_MILLIS, this::publishFleet);
    }

    void publishFleet() {
        policy.updateFleet(
                servers.stream().filter(this::usable).map(FakeServer::listed).toList());
    }

    private boolean usable(FakeServer server) {
        return !server.draining()
                && !dataCentresOutOfService.contains(server.listed().dataCentre());
    }

    private void checkAgreement(ServiceId service, MoveResult result) {
        Set<List<VersionId>> answers = new HashSet<>();
        for (int i = 0; i < PROCESSES; i++) {
            for (int probe = 0; probe < 50; probe++) {
                answers.add(policy.versionsFor(i, requestInfo(service, "probe-" + probe, "chat")));
            }
        }
        result.agreed = answers.size() == 1;
        if (result.state == MoveState.UNDER_WAY && result.agreed) {
            boolean done = answers.iterator().next().equals(List.of(NEW));
            result.state = done ? MoveState.DONE : MoveState.WITHDRAWN;
            result.reason = "decided without the store";
        }
    }

    private void arrive(ServiceId service) {
        double gap = -Math.log(1 - random.nextDouble()) * 1_000 / scenario.rate();
        clock.after(Math.round(gap), () -> {
            RequestInfo requestInfo = requestInfo(service, "r" + requests++, route());
            results.get(service).requests++;
            dispatch(new SimulatedAttempt(requestInfo, random.nextInt(PROCESSES), 1, 0));
            arrive(service);
        });
    }

    private void dispatch(SimulatedAttempt attempt) {
        ServiceId service = attempt.requestInfo().service();
        List<VersionId> versions = policy.versionsFor(attempt.process(), attempt.requestInfo());
        Optional<FakeServer> server = versions.stream()
                .flatMap(version -> choose(service, version).stream())
                .findFirst();
        if (server.isPresent()) {
            run(attempt, server.get());
        } else if (attempt.waitedMillis() < MAX_WAIT_MILLIS) {
            SimulatedAttempt later = new SimulatedAttempt(
                    attempt.requestInfo(), attempt.process(), attempt.attempt(), attempt.waitedMillis() + RETRY_MILLIS);
            clock.after(RETRY_MILLIS, () -> dispatch(later));
        } else {
            results.get(service).lost++;
        }
    }

    private Optional<FakeServer> choose(ServiceId service, VersionId version) {
        return pools.get(new Pool(service, version)).stream()
                .filter(s -> usable(s) && s.hasCapacity())
                .min(Comparator.comparingDouble(s -> s.inFlight() / (double) s.concurrencyLimit()));
    }

    private void run(SimulatedAttempt attempt, FakeServer server) {
        MoveResult result = results.get(attempt.requestInfo().service());
        boolean newVersion = server.listed().version().equals(NEW);
        String route = attempt.requestInfo().route().value();
        Behaviour behaviour = scenario.moves().get(indexOf(attempt.requestInfo().service()));
        boolean bad = newVersion
                && behaviour
                        .effectOn(clock.millis(), route, (server.inFlight() + 1) / (double) FakeServer.WARM_CONCURRENCY)
                        .bad();
        countDispatch(result, visibilities.get(attempt.requestInfo().service()), newVersion);
        int tokens = 20 + random.nextInt(40);
        boolean warm = server.warm();
        FakeServer.Run run = server.run(clock.millis(), route, tokens, random);
        boolean slow = warm && run.firstMillis() > SLOW_MILLIS;
        clock.after(run.totalMillis(), () -> {
            observe(visibilities.get(attempt.requestInfo().service()), newVersion, bad, route, run.failed(), slow);
            completeAttempt(attempt, server, run, tokens);
        });
    }

    private void countDispatch(MoveResult result, Visibility visibility, boolean newVersion) {
        boolean inMove = clock.millis() <= scenario.lengthMillis();
        result.toNew += newVersion && inMove ? 1 : 0;
        boolean late = visibility.millis() >= 0 && clock.millis() > visibility.millis() + VISIBLE_GRACE_MILLIS;
        result.afterVisible += newVersion && late ? 1 : 0;
        boolean ended = result.endMillis >= 0 && clock.millis() > result.endMillis + VISIBLE_GRACE_MILLIS;
        boolean wrong = newVersion == (result.state == MoveState.WITHDRAWN);
        result.afterEnd += ended && wrong ? 1 : 0;
    }

    private void observe(
            Visibility visibility, boolean newVersion, boolean bad, String route, boolean failed, boolean slow) {
        if (bad) {
            visibility.recordNew(route, failed, slow, clock.millis());
        } else if (!newVersion) {
            visibility.recordOld(route, failed, slow);
        }
    }

    private void completeAttempt(SimulatedAttempt attempt, FakeServer server, FakeServer.Run run, int tokens) {
        server.ended(run.failed());
        RequestInfo requestInfo = attempt.requestInfo();
        AttemptEnd end = run.failed() ? AttemptEnd.SERVER_ERROR : AttemptEnd.ANSWERED;
        AttemptResult report =
                new AttemptResult(end, run.firstMillis(), run.totalMillis(), run.failed() ? 0 : tokens, -1);
        policy.attemptEnded(attempt.process(), requestInfo, server.listed(), report);
        if (run.failed() && attempt.attempt() < MAX_ATTEMPTS) {
            dispatch(new SimulatedAttempt(requestInfo, attempt.process(), attempt.attempt() + 1, 0));
        } else if (run.failed()) {
            results.get(requestInfo.service()).lost++;
        }
    }

    private void reportWarmth() {
        for (FakeServer server : servers) {
            Boolean previous = lastReportedWarmth.put(server.listed().id(), server.warm());
            if (previous == null || previous != server.warm()) {
                policy.updateWarmth(server.listed().id(), server.warm());
            }
        }
    }

    private void endMove(Action.EndMove end) {
        long now = clock.millis();
        boolean down = now >= scenario.storeDownFromMillis() && now < scenario.storeDownUntilMillis();
        if (!down) {
            clock.after(20, () -> apply(end));
        }
    }

    private void apply(Action.EndMove end) {
        Configuration next = MoveEndRecorder.apply(stored, end.move(), end.finalState(), end.reason());
        if (next.equals(stored)) {
            return;
        }
        stored = next.withGeneration(stored.generation() + 1);
        Configuration written = stored;
        IntStream.range(0, PROCESSES)
                .forEach(i -> clock.after(20 + random.nextInt(300), () -> policy.updateConfiguration(i, written)));
        written.moves().stream().filter(m -> m.id().equals(end.move())).forEach(m -> {
            MoveResult result = results.get(m.service());
            result.state = m.state();
            result.reason = m.reason();
            result.endMillis = clock.millis();
        });
    }

    private String route() {
        double draw = random.nextDouble();
        if (draw < 0.02) {
            return RARE_ROUTE;
        }
        return draw < 0.2 ? "quote" : "chat";
    }

    private RequestInfo requestInfo(ServiceId service, String id, String route) {
        long deadline = clock.now().nanos() + DEADLINE_MILLIS * 1_000_000L;
        return new RequestInfo(
                new RequestId(id),
                new TeamId("counter"),
                service,
                new RouteId(route),
                true,
                true,
                Priority.INTERACTIVE,
                deadline,
                100,
                40,
                List.of());
    }

    private static int indexOf(ServiceId service) {
        return Integer.parseInt(service.value().substring(1));
    }

    private void addServers(ServiceId service, VersionId version, int count, Behaviour behaviour, boolean warm) {
        for (int i = 0; i < count; i++) {
            String name = service + "-" + version + "-" + i;
            BackendServer listed = new BackendServer(
                    new ServerId(name),
                    service,
                    version,
                    new DataCentreId("dc" + i % DATA_CENTRES),
                    new HostId("h-" + name),
                    "gpu",
                    i % 2 == 0,
                    100,
                    "127.0.0.1",
                    1,
                    false);
            FakeServer server = new FakeServer(listed, behaviour, warm);
            servers.add(server);
            pools.computeIfAbsent(new Pool(service, version), _p -> new ArrayList<>())
                    .add(server);
        }
    }

    private Configuration configuration() {
        List<Service> services = new ArrayList<>();
        List<VersionMove> moves = new ArrayList<>();
        for (int i = 0; i < scenario.moves().size(); i++) {
            ServiceId id = new ServiceId("s" + i);
            services.add(new Service(
                    id,
                    ServiceKind.MODEL,
                    OLD,
                    FakeServer.COLD_CONCURRENCY,
                    FakeServer.WARM_CONCURRENCY,
                    DEADLINE_MILLIS));
            moves.add(new VersionMove(
                    new MoveId("move-" + i),
                    id,
                    OLD,
                    NEW,
                    VirtualTimeScheduler.epochMillis(0),
                    VirtualTimeScheduler.epochMillis(scenario.lengthMillis()),
                    FIRST_SHARE_PERCENT,
                    MoveState.UNDER_WAY,
                    ""));
        }
        PresetId day = new PresetId("day");
        Preset preset = new Preset(day, 490, 57, 1, 1, 10);
        return new Configuration(
                1, 1, day, List.of(preset), services, List.of(), List.of(), List.of(), Set.of(), moves);
    }
}
