package org.geraniumstand.proofs.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.geraniumstand.decisions.routing.LatencyTargets;
import org.geraniumstand.decisions.routing.PrefixIndex;
import org.geraniumstand.decisions.routing.ServerCapacity;
import org.geraniumstand.decisions.routing.ServerRegistry;
import org.geraniumstand.decisions.routing.ServerSelector;
import org.geraniumstand.decisions.routing.ServerState;
import org.geraniumstand.model.config.Priority;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.ServiceKind;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.request.RequestInfo;
import org.geraniumstand.model.time.Timestamp;

/** Measures server selections per second on one core, with 750 servers of one service and filled prefix caches. */
public final class ChoiceBench {
    private static final int SERVERS = 750;
    private static final int DATA_CENTRES = 4;
    private static final int REQUESTS = 20_000;
    private static final int BLOCKS = 8;
    private static final int ROUNDS = 8;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final ServiceId MODEL = new ServiceId("model");
    private static final VersionId VERSION = new VersionId("v1");
    private static final Service SERVICE = new Service(MODEL, ServiceKind.MODEL, VERSION, 1, 16, 10_000);

    private ChoiceBench() {}

    /**
     * Runs the benchmark and prints one line per round.
     *
     * @param _args ignored
     */
    public static void main(String[] _args) {
        ServerRegistry registry = new ServerRegistry();
        registry.onFleet(BenchFleet.servers(SERVERS, DATA_CENTRES, MODEL, VERSION));
        PrefixIndex prefixes = new PrefixIndex();
        ServerSelector selector = new ServerSelector(registry, prefixes);
        selector.onMembers(Optional.of(new DataCentreId("c0")), 16);
        List<ServerSelector.Query> queries = queries(prefixes);
        ServerCapacity capacity = new ServerCapacity() {
            @Override
            public int spareConcurrency(ServerState state) {
                return 1 + (state.index() & 3);
            }

            @Override
            public boolean warm(ServerState _state) {
                return true;
            }
        };
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        Timestamp now = new Timestamp(1_000_000_000L, 0);
        for (int round = 1; round <= ROUNDS; round++) {
            long sum = 0;
            long start = System.nanoTime();
            long startCpu = threads.getCurrentThreadCpuTime();
            for (ServerSelector.Query query : queries) {
                sum += selector.select(query, capacity, now).orElseThrow().index();
            }
            double cpuSeconds = (threads.getCurrentThreadCpuTime() - startCpu) / NANOS_PER_SECOND;
            double seconds = (System.nanoTime() - start) / NANOS_PER_SECOND;
            System.out.printf(
                    Locale.ROOT,
                    "bench=server-choice servers=%d round=%d choices-per-second=%.0f choices-per-cpu-second=%.0f checksum=%d%n",
                    SERVERS,
                    round,
                    REQUESTS / seconds,
                    REQUESTS / cpuSeconds,
                    sum);
        }
    }

    private static List<ServerSelector.Query> queries(PrefixIndex prefixes) {
        Random random = new Random(1);
        List<ServerSelector.Query> queries = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            List<Long> blocks = new ArrayList<>();
            for (int b = 0; b < BLOCKS; b++) {
                blocks.add(b < 3 ? b : (long) (i % 5_000) * BLOCKS + b);
            }
            if (i % 2 == 0) {
                prefixes.recordStored(random.nextInt(SERVERS), blocks, 900);
            }
            RequestInfo requestInfo = new RequestInfo(
                    new RequestId("r" + i),
                    new TeamId("t"),
                    MODEL,
                    new RouteId("chat"),
                    true,
                    true,
                    Priority.INTERACTIVE,
                    Long.MAX_VALUE,
                    2_048,
                    100,
                    blocks);
            queries.add(new ServerSelector.Query(
                    requestInfo, SERVICE, List.of(VERSION), Set.of(), new LatencyTargets(490, 57)));
        }
        return queries;
    }
}
