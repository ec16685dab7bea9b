package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.function.LongPredicate;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.relay.CallKind;
import org.geraniumstand.model.relay.PromptPart;
import org.geraniumstand.model.relay.RelayRoute;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.RelayTeam;
import org.geraniumstand.model.relay.ServerLoad;
import org.geraniumstand.model.request.AttemptEnd;

/**
 * Replays the calls of 70 processes to servers of one service whose hosts turn slow, in steps of a millisecond. A plain
 * server works on as many calls as it has slots; an engine reads one prompt after the other.
 */
final class ServerSpeedReplay {
    private static final int PROCESSES = 70;
    private static final int SLOTS = 6;
    private static final int ENGINE_SLOTS = 32;
    private static final double PLAIN_WORK_MILLIS = 20;
    private static final double TOKENS_PER_MILLI = 40;
    private static final int STREAM_MILLIS = 300;
    private static final double SLOWNESS = 2.5;
    private static final int SLOW_PERCENT = 15;
    private static final int SPELL_MILLIS = 600;
    private static final int MIN_REPORT_MILLIS = 100;
    private static final int MAX_REPORT_MILLIS = 400;
    private static final RelayTeam TEAM =
            new RelayTeam(new TeamId("t"), List.of("key"), OptionalInt.empty(), true, 200, 0, 0);

    private final boolean engines;
    private final int callsPerSecond;
    private final Random random;
    private final RelayRoute route;
    private final List<RelayDispatcher> dispatchers = new ArrayList<>();
    private final List<Host> hosts = new ArrayList<>();
    private final Map<ServerId, Host> hostsById = new HashMap<>();
    private final InFlightSums sums = new InFlightSums();
    private final Set<ProcessId> live = new HashSet<>();
    private final List<Sent> sent = new ArrayList<>();
    private final int[] nextReportMillis = new int[PROCESSES];
    private int arrivals;
    private long now;

    private static final class Job {
        private final RelayCall call;
        private final RelayDispatcher dispatcher;
        private double remainingMillis;
        private long endMillis;

        Job(RelayCall call, RelayDispatcher dispatcher, double workMillis) {
            this.call = call;
            this.dispatcher = dispatcher;
            this.remainingMillis = workMillis;
        }
    }

    private static final class Host {
        private final RelayServer server;
        private final List<Job> working = new ArrayList<>();
        private final List<Job> streaming = new ArrayList<>();
        private double slowness = 1;
        private LongPredicate slowAt = _millis -> false;
        private long spellEndMillis;

        Host(RelayServer server) {
            this.server = server;
        }
    }

    private static final class Sent {
        private final long arrivedMillis;
        private int host = -1;
        private boolean slow;
        private long sentMillis;
        private long beganMillis = Long.MAX_VALUE;

        Sent(long arrivedMillis) {
            this.arrivedMillis = arrivedMillis;
        }
    }

    ServerSpeedReplay(ServiceId service, int servers, int callsPerSecond, long seed) {
        this.engines = service.equals(Calls.ENGINE_SERVICE);
        this.callsPerSecond = callsPerSecond;
        this.random = new Random(seed);
        this.route = Calls.route(engines ? CallKind.STREAM : CallKind.SAFE, false, 1, 0);
        for (int i = 0; i < PROCESSES; i++) {
            RelayDispatcher dispatcher =
                    new RelayDispatcher(Calls.WEST, Calls.bounds(), new Random(i), Calls.EARLIER_START);
            dispatcher.onConfiguration(Calls.configuration(1), 0);
            dispatcher.processes().onLive(PROCESSES, 0);
            dispatchers.add(dispatcher);
            live.add(id(i));
            nextReportMillis[i] = random.nextInt(MAX_REPORT_MILLIS);
        }
        for (int i = 0; i < servers; i++) {
            RelayServer server = new RelayServer(
                    new ServerId("server-" + i),
                    1,
                    service,
                    "127.0.0.1",
                    1_000 + i,
                    Calls.WEST,
                    new VersionId("v1"),
                    engines ? ENGINE_SLOTS : SLOTS,
                    false,
                    0,
                    false);
            Host host = new Host(server);
            hosts.add(host);
            hostsById.put(server.id(), host);
            dispatchers.forEach(dispatcher -> dispatcher.fleet().onListed(server, 0));
        }
    }

    private static ProcessId id(int index) {
        return new ProcessId("process-" + index);
    }

    /** Makes the host of each server slow in some of its spells, independently of the others. */
    void slowBySpells() {
        for (Host host : hosts) {
            boolean[] slow = new boolean[1];
            host.slowAt = millis -> {
                if (millis >= host.spellEndMillis) {
                    host.spellEndMillis = millis + 1 + (long) (-Math.log(1 - random.nextDouble()) * SPELL_MILLIS);
                    slow[0] = random.nextInt(100) < SLOW_PERCENT;
                }
                return slow[0];
            };
        }
    }

    /** Makes the host of one server slow for a while. */
    void slowFrom(int server, long fromMillis, long toMillis) {
        hosts.get(server).slowAt = millis -> millis >= fromMillis && millis < toMillis;
    }

    void run(int millis) {
        for (int time = 0; time < millis; time++) {
            now = time * Calls.MILLI;
            for (Host host : hosts) {
                host.slowness = host.slowAt.test(time) ? SLOWNESS : 1;
                work(host, time);
            }
            report(time);
            for (int left = callsPerSecond; left > 0; left -= 1_000) {
                if (random.nextInt(1_000) < left) {
                    arrive(time);
                }
            }
        }
    }

    private void work(Host host, long time) {
        int atOnce = engines ? 1 : SLOTS;
        int position = 0;
        Iterator<Job> jobs = host.working.iterator();
        List<Job> answered = new ArrayList<>();
        while (jobs.hasNext() && position < atOnce) {
            Job job = jobs.next();
            position++;
            job.remainingMillis -= 1 / host.slowness;
            if (job.remainingMillis <= 0) {
                answered.add(job);
                jobs.remove();
            }
        }
        for (Job job : answered) {
            sent.get((int) job.call.number()).beganMillis = time;
            job.dispatcher.onStarted(job.call, Optional.of(load(host)), now);
            job.dispatcher.onProgress(job.call, now);
            job.endMillis = time + (engines ? STREAM_MILLIS : 0);
            host.streaming.add(job);
        }
        for (Job job : List.copyOf(host.streaming)) {
            if (job.endMillis <= time) {
                host.streaming.remove(job);
                job.dispatcher.onSucceeded(job.call, now);
                List<RelayStep> steps = new ArrayList<>();
                job.dispatcher.onEnded(job.call, AttemptEnd.ANSWERED, now, steps);
                perform(job.dispatcher, steps, time);
            }
        }
    }

    private ServerLoad load(Host host) {
        int calls = host.working.size() + host.streaming.size();
        int slots = host.server.slots();
        return new ServerLoad(
                Math.min(calls, slots), Math.max(0, calls - slots), slots, OptionalDouble.of(host.slowness));
    }

    private void report(int time) {
        for (int i = 0; i < PROCESSES; i++) {
            if (time >= nextReportMillis[i]) {
                nextReportMillis[i] = time + MIN_REPORT_MILLIS + random.nextInt(MAX_REPORT_MILLIS - MIN_REPORT_MILLIS);
                sums.onReport(id(i), dispatchers.get(i).fleet().inFlight(now), now);
                sums.retain(live, now);
                dispatchers.get(i).fleet().onRemoteInFlight(sums.sumExcluding(id(i)), now);
            }
        }
    }

    private void arrive(long time) {
        RelayDispatcher dispatcher = dispatchers.get(random.nextInt(PROCESSES));
        int number = arrivals++;
        PromptPart[] prompt =
                engines ? new PromptPart[] {new PromptPart(number, 500 + random.nextInt(8_500))} : new PromptPart[0];
        RelayCall call = new RelayCall(
                number,
                Calls.head("attempt-" + number, prompt),
                route,
                Optional.of(TEAM),
                now,
                now + 5_000 * Calls.MILLI);
        sent.add(new Sent(time));
        List<RelayStep> steps = new ArrayList<>();
        dispatcher.onArrival(call, now, steps);
        perform(dispatcher, steps, time);
    }

    private void perform(RelayDispatcher dispatcher, List<RelayStep> steps, long time) {
        for (RelayStep step : steps) {
            if (step instanceof RelayStep.Send send) {
                Host host = hostsById.get(send.server().id());
                double work = engines
                        ? send.call().head().promptTokens() / TOKENS_PER_MILLI
                        : PLAIN_WORK_MILLIS * (0.7 + 0.6 * random.nextDouble());
                host.working.add(new Job(send.call(), dispatcher, work));
                Sent entry = sent.get((int) send.call().number());
                entry.host = hosts.indexOf(host);
                entry.slow = host.slowness > 1;
                entry.sentMillis = time;
            }
        }
    }

    /** Returns the share of the calls that were sent to a server while its host was slow. */
    double shareToSlowServers() {
        return (double) sent.stream().filter(call -> call.slow).count() / sent.size();
    }

    /** Returns the share of calls that were sent to a server, of those sent at the given times. */
    double shareTo(int server, LongPredicate atMillis) {
        List<Sent> all =
                sent.stream().filter(call -> atMillis.test(call.sentMillis)).toList();
        return (double) all.stream().filter(call -> call.host == server).count() / all.size();
    }

    /** Returns the share of calls whose answer began in time. */
    double shareOnTime(long targetMillis) {
        return (double) sent.stream()
                        .filter(call -> call.beganMillis - call.arrivedMillis <= targetMillis)
                        .count()
                / sent.size();
    }

    /**
     * Returns the calls sent to the busiest server as a multiple of the mean, averaged over windows in which the mean is
     * about 17 calls (plain servers) or 2 calls (engines).
     */
    double busiestToMean() {
        int windowMillis = engines ? 500 : 100;
        Map<Long, int[]> countsByWindow = new HashMap<>();
        for (Sent call : sent) {
            if (call.host >= 0) {
                countsByWindow
                        .computeIfAbsent(call.sentMillis / windowMillis, _key -> new int[hosts.size()])[call.host]++;
            }
        }
        double sum = 0;
        for (int[] counts : countsByWindow.values()) {
            int total = 0;
            int most = 0;
            for (int count : counts) {
                total += count;
                most = Math.max(most, count);
            }
            sum += (double) most * counts.length / total;
        }
        return sum / countsByWindow.size();
    }
}
