package org.geraniumstand.proofs.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.decisions.TrafficController;
import org.geraniumstand.decisions.limits.RendezvousServerOwners;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.HostPool;
import org.geraniumstand.model.config.Preset;
import org.geraniumstand.model.config.Priority;
import org.geraniumstand.model.config.Repeatability;
import org.geraniumstand.model.config.Route;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.ServiceKind;
import org.geraniumstand.model.config.Team;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.fleet.LoadReport;
import org.geraniumstand.model.id.PresetId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.limits.Demand;
import org.geraniumstand.model.limits.Grant;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.AttemptResult;
import org.geraniumstand.model.request.RequestInfo;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.peer.PeerMessage;
import org.geraniumstand.peer.codec.MessageCodecs;

/**
 * Measures the cost of the decisions of one process for several numbers of members and backend servers.
 *
 * <p>Each line gives a size, CPU microseconds per tick and per request, bytes and messages of demands, grants and
 * evidence sent per second, and kilobytes of heap that the controller uses.
 */
public final class CapacityBench {
    private static final int[][] SIZES = {{8, 100}, {8, 300}, {8, 750}, {40, 750}, {120, 750}, {330, 750}};
    private static final int WARM_UP_TICKS = 600;
    private static final int TICKS = 1_200;
    private static final int REQUESTS_PER_TICK = 3;
    private static final int DATA_CENTRES = 4;
    private static final double NANOS_PER_MICRO = 1_000;
    private static final int GC_PASSES = 4;
    private static final ProcessId SELF = new ProcessId("p0");
    private static final ServiceId MODEL = new ServiceId("model");
    private static final VersionId VERSION = new VersionId("v1");
    private static final RouteId CHAT = new RouteId("chat");
    private static final TeamId TEAM = new TeamId("team");

    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final TrafficController controller = new TrafficController(SELF);
    private final List<BackendServer> servers;
    private final int members;
    private final Map<ProcessId, List<Grant>> grantsByOwner;
    private Timestamp now = new Timestamp(1_000_000_000L, 1_700_000_000_000L);
    private long tickNanos;
    private long requestNanos;
    private long requests;
    private long sentBytes;
    private long sentMessages;
    private int ownedServers;
    private int undispatched;

    private CapacityBench(int members, int servers) {
        this.members = members;
        this.servers = BenchFleet.servers(servers, DATA_CENTRES, MODEL, VERSION);
        this.grantsByOwner = grantsByOwner(this.servers, members);
    }

    /**
     * Runs the benchmark and prints one line per size.
     *
     * @param _args ignored
     */
    public static void main(String[] _args) {
        for (int[] size : SIZES) {
            long before = usedHeapBytes();
            CapacityBench bench = new CapacityBench(size[0], size[1]);
            bench.start();
            bench.run(WARM_UP_TICKS);
            bench.reset();
            bench.run(TICKS);
            bench.print(usedHeapBytes() - before);
        }
    }

    private void start() {
        observe(new Observation.ConfigurationAccepted(configuration()));
        List<Member> all = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            all.add(new Member(
                    new ProcessId("p" + i), BenchFleet.dataCentre(i, DATA_CENTRES), "127.0.0.1", 1, 2, 3, 1, false));
        }
        observe(new Observation.MembersUpdated(all));
        observe(new Observation.ServersListed(servers));
    }

    private void run(int ticks) {
        for (int tick = 0; tick < ticks; tick++) {
            now = new Timestamp(
                    now.nanos() + Observation.TICK_MILLIS * Timestamp.NANOS_PER_MILLI,
                    now.epochMillis() + Observation.TICK_MILLIS);
            if (tick % 5 == 0) {
                simulatePeers();
            }
            long start = threads.getCurrentThreadCpuTime();
            List<Action> actions = controller.handle(new Observation.Tick(), now);
            tickNanos += threads.getCurrentThreadCpuTime() - start;
            actions.forEach(this::count);
            for (int i = 0; i < REQUESTS_PER_TICK; i++) {
                sendRequest();
            }
        }
    }

    /** Simulates the owners that grant shares of their servers, and the peers that demand shares of local servers. */
    private void simulatePeers() {
        grantsByOwner.forEach((owner, grants) -> controller.handle(new Observation.GrantsReceived(owner, grants), now));
        for (BackendServer server : servers) {
            controller.handle(new Observation.LoadReported(server.id(), new LoadReport(1, 0, true, 10_000, 100)), now);
        }
        int demandingPeers = Math.min(members - 1, 16);
        for (int i = 1; i <= demandingPeers; i++) {
            List<Demand> demands = new ArrayList<>();
            for (BackendServer server : servers.subList(0, Math.min(servers.size(), 6))) {
                demands.add(new Demand(server.id(), new ProcessId("p" + i), 1, 1));
            }
            controller.handle(new Observation.DemandsReceived(demands), now);
        }
    }

    private void sendRequest() {
        requests++;
        RequestId id = new RequestId("r" + requests);
        List<Long> blocks = new ArrayList<>();
        for (int b = 0; b < 8; b++) {
            blocks.add(b < 3 ? b : requests % 5_000 * 8 + b);
        }
        RequestInfo requestInfo = new RequestInfo(
                id,
                TEAM,
                MODEL,
                CHAT,
                true,
                true,
                Priority.INTERACTIVE,
                now.nanos() + 20_000 * Timestamp.NANOS_PER_MILLI,
                512,
                100,
                blocks);
        long start = threads.getCurrentThreadCpuTime();
        List<Action> actions = controller.handle(new Observation.RequestArrived(requestInfo), now);
        boolean sent = actions.stream().anyMatch(Action.Dispatch.class::isInstance);
        if (sent) {
            controller.handle(new Observation.AnswerStarted(id, 1, 80), now);
            controller.handle(new Observation.StreamProgressed(id, 1, 50), now);
            controller.handle(
                    new Observation.AttemptEnded(id, 1, new AttemptResult(AttemptEnd.ANSWERED, 80, 1_000, 100, 300)),
                    now);
        } else {
            undispatched++;
            controller.handle(new Observation.CallerDisconnected(id), now);
        }
        requestNanos += threads.getCurrentThreadCpuTime() - start;
        actions.forEach(this::count);
    }

    private void observe(Observation observation) {
        controller.handle(observation, now).forEach(this::count);
    }

    private void count(Action action) {
        if (action instanceof Action.SendGrants grants) {
            count(new PeerMessage.GrantUpdate(grants.grants()));
        } else if (action instanceof Action.SendDemands demands) {
            count(new PeerMessage.DemandReport(demands.demands()));
        } else if (action instanceof Action.ShareEvidence evidence) {
            count(new PeerMessage.EvidenceUpdate(evidence.rows()));
        } else if (action instanceof Action.PollServers poll) {
            ownedServers = poll.servers().size();
        }
    }

    private void count(PeerMessage message) {
        sentMessages++;
        sentBytes += MessageCodecs.encode(message).length + Integer.BYTES;
    }

    private void reset() {
        tickNanos = 0;
        requestNanos = 0;
        requests = 0;
        sentBytes = 0;
        sentMessages = 0;
        undispatched = 0;
    }

    private void print(long heapBytes) {
        double seconds = TICKS * Observation.TICK_MILLIS / 1_000.0;
        System.out.printf(
                Locale.ROOT,
                "bench=capacity members=%d servers=%d kept=%d tick-micros=%.1f request-micros=%.1f sent-bytes-per-second=%.0f"
                        + " sent-messages-per-second=%.1f heap-kilobytes=%d undispatched=%d%n",
                members,
                servers.size(),
                ownedServers,
                tickNanos / NANOS_PER_MICRO / TICKS,
                requestNanos / NANOS_PER_MICRO / requests,
                sentBytes / seconds,
                sentMessages / seconds,
                heapBytes / 1_024,
                undispatched);
    }

    private static long usedHeapBytes() {
        for (int i = 0; i < GC_PASSES; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static Map<ProcessId, List<Grant>> grantsByOwner(List<BackendServer> servers, int members) {
        List<ProcessId> processes = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            processes.add(new ProcessId("p" + i));
        }
        RendezvousServerOwners owners = new RendezvousServerOwners(processes);
        Map<ProcessId, List<Grant>> grantsByOwner = new TreeMap<>();
        for (BackendServer server : servers) {
            ProcessId owner = owners.ownerOf(server.id()).orElseThrow();
            grantsByOwner
                    .computeIfAbsent(owner, _key -> new ArrayList<>())
                    .add(new Grant(server.id(), SELF, 2, 900, true));
        }
        return grantsByOwner;
    }

    private static Configuration configuration() {
        PresetId preset = new PresetId("peak");
        return new Configuration(
                1,
                1,
                preset,
                List.of(new Preset(preset, 490, 57, 1, 1, 10)),
                List.of(new Service(MODEL, ServiceKind.MODEL, VERSION, 1, 16, 10_000)),
                List.of(new Route(CHAT, "/v1/chat/completions", MODEL, Repeatability.IDEMPOTENT, 1 << 20, "")),
                List.of(new Team(TEAM, "00", 1, Priority.INTERACTIVE)),
                List.of(new HostPool(BenchFleet.dataCentre(0, DATA_CENTRES), "class-0", true, 100)),
                Set.of(),
                List.of(),
                "");
    }
}
