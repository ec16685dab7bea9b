package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.LostServer;
import org.geraniumstand.model.time.Timestamp;

/** Collects the servers that any process has lost contact with. Not thread-safe. */
@Decision(
        name = "lost-servers",
        summary = "An aggregator reports recent server losses of any process to all processes, "
                + "because a single process contacts a given server only every few seconds; those that processes "
                + "could not connect to a moment ago are told apart, with the number of processes.")
public final class LostServers {
    /** Milliseconds for which a loss is reported; the outages in which losses matter last several seconds. */
    private static final long RETENTION_MILLIS = 10_000;

    /** Milliseconds for which the latest report of a process counts; processes report several times a second. */
    private static final long REPORT_VALID_MILLIS = 1_000;

    private final Map<ServerId, Long> lostNanos = new HashMap<>();
    private final Map<ProcessId, Unconnected> unconnectedByProcess = new HashMap<>();

    /** The servers that a process could not connect to, with the times on the monotonic clock in nanoseconds. */
    private record Unconnected(Map<ServerId, Long> nanosByServer, long reportedNanos) {}

    /** Creates a collection without losses. */
    public LostServers() {}

    /**
     * Records the servers that a process has lost contact with.
     *
     * @param process the reporting process
     * @param losses all losses that the process reports now
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onReport(ProcessId process, List<LostServer> losses, long nowNanos) {
        Map<ServerId, Long> unconnected = new HashMap<>();
        for (LostServer loss : losses) {
            long at = nowNanos - loss.ageMillis() * Timestamp.NANOS_PER_MILLI;
            (loss.processes() > 0 ? unconnected : lostNanos).merge(loss.server(), at, LostServers::later);
        }
        unconnectedByProcess.put(process, new Unconnected(unconnected, nowNanos));
    }

    private static long later(long a, long b) {
        return a - b > 0 ? a : b;
    }

    /**
     * Returns the losses that have not expired.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public List<LostServer> recentLosses(long nowNanos) {
        lostNanos.values().removeIf(at -> nowNanos - at > RETENTION_MILLIS * Timestamp.NANOS_PER_MILLI);
        unconnectedByProcess
                .values()
                .removeIf(
                        report -> nowNanos - report.reportedNanos() > REPORT_VALID_MILLIS * Timestamp.NANOS_PER_MILLI);
        List<LostServer> losses = new ArrayList<>();
        lostNanos.forEach((server, at) -> losses.add(new LostServer(server, ageMillis(at, nowNanos))));
        Map<ServerId, Long> latest = new HashMap<>();
        Map<ServerId, Integer> processes = new HashMap<>();
        for (Unconnected report : unconnectedByProcess.values()) {
            report.nanosByServer().forEach((server, at) -> {
                latest.merge(server, at, LostServers::later);
                processes.merge(server, 1, Integer::sum);
            });
        }
        latest.forEach(
                (server, at) -> losses.add(new LostServer(server, ageMillis(at, nowNanos), processes.get(server))));
        return losses;
    }

    private static long ageMillis(long atNanos, long nowNanos) {
        return (nowNanos - atNanos) / Timestamp.NANOS_PER_MILLI;
    }
}
