package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.CallKind;
import org.geraniumstand.model.relay.CrashEvidence;
import org.geraniumstand.model.relay.PromptPart;
import org.geraniumstand.model.relay.RelayRoute;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.request.AttemptEnd;

/** Simulates entry processes before servers that crash shortly after they begin to answer certain prompt parts. */
final class CrashingPartSimulation {
    static final long SYSTEM_PART = 1;
    static final long CRASHING_PART = 666;
    static final long SECOND_CRASHING_PART = 667;

    private static final RelayRoute STREAM = Calls.route(CallKind.STREAM, true, 3, 0);
    private static final long PREFILL_MILLIS = 150;
    private static final long CRASH_MILLIS = 100;
    private static final long RESTART_MILLIS = 3_000;
    private static final long EXCHANGE_MILLIS = 200;
    private static final int SUBJECTS = 60;

    private final Random random;
    private final List<RelayDispatcher> processes = new ArrayList<>();
    private final Map<ServerId, Server> servers = new HashMap<>();
    private final Map<Long, Integer> owners = new HashMap<>();
    private final Map<Long, Long> sends = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Set<Long> crashing = new HashSet<>();
    private final Set<Long> everCrashing = new TreeSet<>();
    private final List<Long> crashMillis = new ArrayList<>();
    private final List<Long> crashingSendMillis = new ArrayList<>();
    private final List<CrashingPrompts.Change> changes = new ArrayList<>();
    private int maxReportedFacts;
    private int lastReportedFacts;
    private int servedSound;
    private int refusedSound;
    private int eventCount;
    private int nextServer;
    private long nextCall;
    private long nowMillis;

    private record Event(long atMillis, int order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atMillis != other.atMillis
                    ? Long.compare(atMillis, other.atMillis)
                    : Integer.compare(order, other.order);
        }
    }

    private static final class Server {
        private final Map<Long, RelayCall> calls = new TreeMap<>();
        private boolean up = true;
    }

    CrashingPartSimulation(long seed, int processCount, int serverCount) {
        random = new Random(seed);
        for (int i = 0; i < processCount; i++) {
            processes.add(startProcess());
        }
        for (int i = 0; i < serverCount; i++) {
            startServer();
        }
    }

    List<RelayDispatcher> processes() {
        return processes;
    }

    /** Returns the moments of all crashes that a prompt part caused, in milliseconds. */
    List<Long> crashMillis() {
        return crashMillis;
    }

    /** Returns the number of calls with a crashing part that were sent later than some time after the fifth crash. */
    long sendsAfterFifthCrash(long afterMillis) {
        if (crashMillis.size() < 5) {
            return 0;
        }
        long from = crashMillis.get(4) + afterMillis;
        return crashingSendMillis.stream().filter(at -> at > from).count();
    }

    /** Returns the changes of the quarantine that a process found by itself, in order. */
    List<CrashingPrompts.Change> changes() {
        return changes;
    }

    int servedSound() {
        return servedSound;
    }

    int refusedSound() {
        return refusedSound;
    }

    long nowNanos() {
        return nowMillis * Calls.MILLI;
    }

    void at(long atMillis, Runnable action) {
        events.add(new Event(atMillis, eventCount++, action));
    }

    /** Replaces a process by one that knows nothing; its calls in flight are lost. */
    void restart(int process) {
        owners.forEach((number, owner) -> {
            if (owner == process) {
                sends.remove(number);
            }
        });
        processes.set(process, startProcess());
    }

    private RelayDispatcher startProcess() {
        RelayDispatcher dispatcher = new RelayDispatcher(
                Calls.WEST, Calls.bounds(), new Random(random.nextLong()), nowNanos() + Calls.EARLIER_START);
        dispatcher.onConfiguration(Calls.configuration(1), nowNanos());
        servers.forEach((id, _server) -> dispatcher.fleet().onListed(listed(id), nowNanos()));
        return dispatcher;
    }

    private static RelayServer listed(ServerId id) {
        return Calls.server(id.value(), Calls.ENGINE_SERVICE, Calls.WEST, 0);
    }

    void removeCrashingPart(long part) {
        crashing.remove(part);
    }

    /** Makes servers crash on a part from now on. */
    void addCrashingPart(long part) {
        crashing.add(part);
        everCrashing.add(part);
    }

    /** Lets callers send requests until some time; a share of them carries one of the crashing parts. */
    void sendCalls(long fromMillis, long untilMillis, double perSecond, double crashingShare) {
        long atMillis = fromMillis;
        while (atMillis < untilMillis) {
            at(atMillis, () -> arrive(prompt(random.nextDouble() < crashingShare)));
            atMillis += Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / perSecond));
        }
    }

    /** Sends one request with these parts and a last part of its own at some time. */
    void sendCall(long atMillis, long... parts) {
        List<Long> ids = new ArrayList<>();
        for (long part : parts) {
            ids.add(part);
        }
        at(atMillis, () -> arrive(ids));
    }

    /** Crashes a number of servers at once, for a reason that has nothing to do with any prompt. */
    void crashServers(long atMillis, int count) {
        at(
                atMillis,
                () -> new TreeSet<>(servers.keySet())
                        .stream()
                                .filter(id -> servers.get(id).up)
                                .limit(count)
                                .toList()
                                .forEach(this::crash));
    }

    void run(long untilMillis) {
        for (long atMillis = nowMillis; atMillis < untilMillis; atMillis += 10) {
            at(atMillis, this::tick);
        }
        while (!events.isEmpty() && events.peek().atMillis() < untilMillis) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.action().run();
        }
    }

    private List<Long> prompt(boolean crashes) {
        List<Long> parts = new ArrayList<>(List.of(SYSTEM_PART, 100L + random.nextInt(SUBJECTS)));
        if (random.nextInt(3) == 0) {
            parts.add(1_000L + random.nextInt(1_000));
        }
        if (crashes) {
            List<Long> ids = List.copyOf(everCrashing);
            parts.add(random.nextInt(parts.size() + 1), ids.get(random.nextInt(ids.size())));
        }
        return parts;
    }

    private void arrive(List<Long> parts) {
        long number = nextCall++;
        PromptPart[] prompt = new PromptPart[parts.size() + 1];
        for (int i = 0; i < parts.size(); i++) {
            prompt[i] = new PromptPart(parts.get(i), 100);
        }
        prompt[parts.size()] = new PromptPart(1_000_000 + number, 100);
        RelayCall call = new RelayCall(
                number,
                Calls.head("attempt-" + number, prompt),
                STREAM,
                Optional.empty(),
                nowNanos(),
                nowNanos() + 5_000 * Calls.MILLI);
        int owner = random.nextInt(processes.size());
        owners.put(number, owner);
        List<RelayStep> steps = new ArrayList<>();
        processes.get(owner).onArrival(call, nowNanos(), steps);
        execute(steps);
    }

    /** Lets all processes exchange evidence by way of the first one, as entry processes do by way of an aggregator. */
    private void exchange() {
        int count = processes.size();
        for (int i = 0; i < count; i++) {
            CrashingPrompts prompts = processes.get(i).crashingPrompts();
            changes.addAll(prompts.evaluate(count, nowNanos()));
            CrashEvidence report = prompts.report(nowNanos());
            CrashEvidence aggregate = processes.get(0).crashingPrompts().aggregate(nowNanos());
            maxReportedFacts = Math.max(maxReportedFacts, Math.max(facts(report), facts(aggregate)));
            lastReportedFacts = i == 0 ? facts(aggregate) : Math.max(lastReportedFacts, facts(report));
            int sender = i;
            at(nowMillis + 5, () -> {
                if (sender > 0) {
                    processes.get(0).crashingPrompts().merge(new ProcessId("p" + sender), report, count, nowNanos());
                    processes.get(sender).crashingPrompts().merge(new ProcessId("p0"), aggregate, count, nowNanos());
                }
            });
        }
    }

    private static int facts(CrashEvidence evidence) {
        return evidence.crashes().size()
                + evidence.suspects().size()
                + evidence.soundParts().size()
                + evidence.quarantined().size();
    }

    /** Returns the most crashes, parts and prompts that a message held. */
    int maxReportedFacts() {
        return maxReportedFacts;
    }

    /** Returns the most crashes, parts and prompts that a message of the last exchange held. */
    int lastReportedFacts() {
        return lastReportedFacts;
    }

    private void tick() {
        if (nowMillis % EXCHANGE_MILLIS == 0) {
            exchange();
        }
        for (RelayDispatcher process : processes) {
            if (process.hasQueuedCalls()) {
                List<RelayStep> steps = new ArrayList<>();
                process.onTick(nowNanos(), steps);
                execute(steps);
            }
        }
    }

    private void execute(List<RelayStep> steps) {
        for (RelayStep step : steps) {
            if (step instanceof RelayStep.Send send) {
                send(send.call(), send.server().id());
            } else {
                refusedSound += carriesCrashingPart(step.call()) ? 0 : 1;
            }
        }
    }

    private boolean carriesCrashingPart(RelayCall call) {
        return call.head().promptParts().stream().anyMatch(part -> crashing.contains(part.id()));
    }

    private void send(RelayCall call, ServerId id) {
        if (carriesCrashingPart(call)) {
            crashingSendMillis.add(nowMillis);
        }
        long attempt = nextCall++;
        sends.put(call.number(), attempt);
        Server server = servers.get(id);
        if (!server.up) {
            at(nowMillis + 1, () -> end(call, attempt, AttemptEnd.NOT_CONNECTED));
            return;
        }
        server.calls.put(call.number(), call);
        at(nowMillis + PREFILL_MILLIS, () -> begin(call, attempt, id));
    }

    private boolean isCurrent(RelayCall call, long attempt) {
        return sends.getOrDefault(call.number(), -1L) == attempt;
    }

    private void begin(RelayCall call, long attempt, ServerId id) {
        if (!isCurrent(call, attempt)) {
            return;
        }
        processes.get(owners.get(call.number())).onStarted(call, Optional.empty(), nowNanos());
        if (carriesCrashingPart(call)) {
            at(nowMillis + random.nextInt((int) CRASH_MILLIS), () -> {
                if (isCurrent(call, attempt) && servers.get(id).up) {
                    crashMillis.add(nowMillis);
                    crash(id);
                }
            });
        } else {
            at(nowMillis + 200 + random.nextInt(2_000), () -> {
                if (isCurrent(call, attempt)) {
                    servers.get(id).calls.remove(call.number());
                    servedSound++;
                    processes.get(owners.get(call.number())).onSucceeded(call, nowNanos());
                    end(call, attempt, AttemptEnd.ANSWERED);
                }
            });
        }
    }

    private void end(RelayCall call, long attempt, AttemptEnd end) {
        if (!isCurrent(call, attempt)) {
            return;
        }
        sends.remove(call.number());
        List<RelayStep> steps = new ArrayList<>();
        processes.get(owners.get(call.number())).onEnded(call, end, nowNanos(), steps);
        execute(steps);
    }

    private void crash(ServerId id) {
        Server server = servers.get(id);
        server.up = false;
        for (RelayCall call : List.copyOf(server.calls.values())) {
            long attempt = sends.getOrDefault(call.number(), -1L);
            at(nowMillis + 1 + random.nextInt(5), () -> end(call, attempt, AttemptEnd.BROKEN));
        }
        server.calls.clear();
        at(nowMillis + RESTART_MILLIS, () -> {
            servers.remove(id);
            processes.forEach(process -> process.fleet().onRemoved(id));
            startServer();
        });
    }

    private void startServer() {
        ServerId id = new ServerId("s" + nextServer++);
        servers.put(id, new Server());
        processes.forEach(process ->
                process.fleet().onListed(Calls.server(id.value(), Calls.ENGINE_SERVICE, Calls.WEST, 0), nowNanos()));
    }
}
