package org.geraniumstand.proofs.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.id.PresetId;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.peer.net.PeerTraffic;
import org.geraniumstand.standins.StoreStandin;
import org.geraniumstand.standins.StoreSwitch;
import org.geraniumstand.support.json.Json;

/**
 * Measures the exchange of shared entries between several nodes in this process, on loopback with a store stand-in.
 * Exits when done.
 *
 * <p>Arguments: {@code idle COUNT...} or {@code changes NODES CHANGES}.
 */
public final class SharedFactsBench {
    // Idle connections to the seeds are closed after 30 s.
    private static final long SETTLE_MILLIS = 40_000;
    private static final long MEASURE_MILLIS = 20_000;
    private static final long BETWEEN_CHANGES_MILLIS = 50;
    private static final double NANOS_PER_MILLI = 1e6;

    private SharedFactsBench() {}

    /**
     * Runs the benchmark.
     *
     * @param args the measurement, {@code idle} or {@code changes}, and its numbers
     */
    public static void main(String[] args) throws InterruptedException {
        if (args[0].equals("idle")) {
            for (int i = 1; i < args.length; i++) {
                measureIdle(Integer.parseInt(args[i]));
            }
        } else {
            measureChanges(Integer.parseInt(args[1]), Integer.parseInt(args[2]));
        }
        System.exit(0);
    }

    private static void measureIdle(int count) throws InterruptedException {
        try (InProcessCluster cluster = new InProcessCluster(count)) {
            cluster.store().put(InProcessNode.configurationKey(), document(1));
            cluster.inForceEverywhere(1);
            Thread.sleep(SETTLE_MILLIS);
            long bytes = bytes(cluster);
            double peers = cpuNanos("peers");
            double platform = cpuNanos("platform-");
            StoreStandin.Counts before = cluster.store().counts();
            long start = System.nanoTime();
            Thread.sleep(MEASURE_MILLIS);
            double seconds = (System.nanoTime() - start) / 1e9;
            StoreStandin.Counts after = cluster.store().counts();
            double nodeSeconds = seconds * count;
            print(
                    "idle nodes=%d sentBytesPerSecond=%.0f peersCpuPercent=%.3f storeCpuPercent=%.3f"
                            + " connections=%.1f storeWritesPerSecond=%.2f storeReadsPerSecond=%.2f"
                            + " storeWatchesPerSecond=%.2f",
                    count,
                    (bytes(cluster) - bytes) / nodeSeconds,
                    100 * (cpuNanos("peers") - peers) / 1e9 / nodeSeconds,
                    100 * (cpuNanos("platform-") - platform) / 1e9 / nodeSeconds,
                    cluster.nodes().stream()
                            .mapToInt(n -> n.tasks().peers().traffic().connections())
                            .average()
                            .orElse(0),
                    (after.writes() - before.writes()) / seconds,
                    (after.reads() - before.reads()) / seconds,
                    (after.watches() - before.watches()) / seconds);
        }
    }

    private static void measureChanges(int count, int changes) throws InterruptedException {
        Random random = new Random(1);
        try (InProcessCluster cluster = new InProcessCluster(count)) {
            cluster.store().put(InProcessNode.configurationKey(), document(1));
            cluster.inForceEverywhere(1);
            List<Double> written = new ArrayList<>();
            List<Double> watched = new ArrayList<>();
            long generation = 1;
            for (int i = 0; i < changes; i++) {
                generation++;
                Thread.sleep(BETWEEN_CHANGES_MILLIS + random.nextInt(100));
                InProcessNode node = cluster.nodes().get(random.nextInt(count));
                written.add(measureWrite(cluster, node, generation));
                generation++;
                Thread.sleep(BETWEEN_CHANGES_MILLIS + random.nextInt(100));
                long start = System.nanoTime();
                cluster.store().put(InProcessNode.configurationKey(), document(generation));
                watched.add((cluster.inForceEverywhere(generation) - start) / NANOS_PER_MILLI);
            }
            report("from the writer's first call", count, written);
            report("from a write straight into the store", count, watched);
            measureStoreDown(cluster, generation);
        }
    }

    private static double measureWrite(InProcessCluster cluster, InProcessNode node, long generation)
            throws InterruptedException {
        CompletableFuture<Result<?, ?>> accepted = new CompletableFuture<>();
        long start = System.nanoTime();
        node.tasks()
                .writer()
                .change(
                        current -> Result.ok(current.withPreset(new PresetId("preset-" + generation))),
                        accepted::complete);
        long end = cluster.inForceEverywhere(generation);
        if (accepted.join().error().isPresent()) {
            print("refused %s", accepted.join());
        }
        return (end - start) / NANOS_PER_MILLI;
    }

    // The store is down while new nodes start, so that they get the configuration from peers.
    private static void measureStoreDown(InProcessCluster cluster, long generation) throws InterruptedException {
        cluster.store().switches().set(StoreSwitch.DOWN, 1);
        List<Double> times = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            long start = System.nanoTime();
            InProcessNode node = cluster.add();
            boolean done =
                    InProcessCluster.await(() -> node.inForceNanos(generation).isPresent());
            times.add(done ? (node.inForceNanos(generation).orElseThrow() - start) / NANOS_PER_MILLI : -1.0);
            cluster.nodes().remove(node);
            node.close();
        }
        report("start of a node while the store is out", cluster.nodes().size(), times);
        List<Double> spread = new ArrayList<>();
        for (int i = 1; i <= 50; i++) {
            long next = generation + i;
            long start = System.nanoTime();
            cluster.nodes().get(i % cluster.nodes().size()).tasks().peers().onStoredConfiguration(document(next));
            spread.add((cluster.inForceEverywhere(next) - start) / NANOS_PER_MILLI);
        }
        report("from one process to all while the store is out", cluster.nodes().size(), spread);
    }

    private static void report(String description, int count, List<Double> millis) {
        List<Double> sorted = new ArrayList<>(millis);
        Collections.sort(sorted);
        print(
                "in force nodes=%d %s: p50=%.1fms p99=%.1fms max=%.1fms n=%d",
                count,
                description,
                sorted.get(sorted.size() / 2),
                sorted.get((int) Math.ceil(0.99 * sorted.size()) - 1),
                sorted.get(sorted.size() - 1),
                sorted.size());
    }

    private static String document(long generation) {
        return Json.write(Configuration.empty()
                .withGeneration(generation)
                .withPreset(new PresetId("preset-" + generation))
                .withChangeTokens("bench" + generation));
    }

    private static long bytes(InProcessCluster cluster) {
        return cluster.nodes().stream()
                .map(n -> n.tasks().peers().traffic())
                .mapToLong(PeerTraffic::sentBytes)
                .sum();
    }

    private static double cpuNanos(String threadName) {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        double sum = 0;
        for (long id : threads.getAllThreadIds()) {
            ThreadInfo info = threads.getThreadInfo(id);
            if (info != null && info.getThreadName().startsWith(threadName)) {
                sum += Math.max(0, threads.getThreadCpuTime(id));
            }
        }
        return sum;
    }

    @SuppressWarnings("SystemOut")
    private static void print(String format, Object... values) {
        System.out.println(String.format(Locale.ROOT, format, values));
    }
}
