package org.geraniumstand.decisions.relay;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.decisions.Hash;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.LimitDemand;
import org.geraniumstand.model.time.Timestamp;

/** Divides the limits that servers have named among the processes that report to this aggregator. Not thread-safe. */
@Decision(
        name = "rate-shares",
        summary = "An aggregator divides a server's limit by demand, among so few processes that their first "
                + "requests fit the limit, and leaves out the part of processes that do not report.")
public final class ServerRateShares {
    /** Milliseconds after which the report of a process expires; processes report several times a second. */
    private static final long REPORT_VALID_MILLIS = 1_500;

    /** Milliseconds for which a division is used, since it is computed from the reports of all processes. */
    private static final long DIVISION_VALID_MILLIS = 50;

    /** Lowest demand that gets a share, in calls per second. */
    private static final double MIN_DEMAND = 0.01;

    /**
     * Processes that share a limit: in any time, each sends at most one request more than its rate allows, and the
     * platform tolerates 5 requests and half of the limit beyond it in 4 s.
     */
    private static final int MIN_SHARING = 3;

    private static final double SHARING_PER_LIMIT = 2;

    /**
     * Factor by which the score of a process with a share is raised. A process that gains a share sends after a random
     * time, so shares that change hands often are hardly used.
     */
    private static final double INCUMBENT_FACTOR = 10;

    /** Milliseconds after which a division is forgotten. */
    private static final long DIVISION_KEPT_MILLIS = 10_000;

    private static final double HASH_RANGE = 0x1p53;
    private static final int HASH_SHIFT = 11;

    private final ProcessCount processes;
    private final Map<ProcessId, Report> reports = new HashMap<>();
    private final Map<ServerId, Division> divisions = new HashMap<>();

    private record Report(Map<ServerId, Double> callsPerSecond, long atNanos) {
        boolean isFresh(long nowNanos) {
            return nowNanos - atNanos <= REPORT_VALID_MILLIS * Timestamp.NANOS_PER_MILLI;
        }
    }

    private record Division(Map<ProcessId, Double> shares, long atNanos) {}

    private record Candidate(ProcessId process, double callsPerSecond, double score) {}

    /**
     * Creates shares without any report.
     *
     * @param processes count of the processes that may send to servers
     */
    public ServerRateShares(ProcessCount processes) {
        this.processes = processes;
    }

    /**
     * Records the demand of a process.
     *
     * @param process the reporting process
     * @param demands its demand by limited server
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onReport(ProcessId process, List<LimitDemand> demands, long nowNanos) {
        reports.put(
                process,
                new Report(
                        demands.stream()
                                .collect(Collectors.toMap(
                                        demand -> demand.limit().server(), LimitDemand::callsPerSecond, Math::max)),
                        nowNanos));
    }

    /**
     * Removes the reports of processes that have ended or have stopped reporting.
     *
     * @param live the processes that are still members
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void retain(Set<ProcessId> live, long nowNanos) {
        reports.entrySet()
                .removeIf(entry ->
                        !live.contains(entry.getKey()) || !entry.getValue().isFresh(nowNanos));
        divisions
                .values()
                .removeIf(division -> nowNanos - division.atNanos() > DIVISION_KEPT_MILLIS * Timestamp.NANOS_PER_MILLI);
    }

    private static boolean isCurrent(Division division, long nowNanos) {
        return nowNanos - division.atNanos() <= DIVISION_VALID_MILLIS * Timestamp.NANOS_PER_MILLI;
    }

    /**
     * Returns the fraction of a server's limit that a process may use, or empty if the process has not reported a demand
     * for it.
     *
     * @param process the process that asks
     * @param server the limited server
     * @param perSecond the limit in requests per second
     * @param nowNanos the monotonic time in nanoseconds
     */
    public OptionalDouble share(ProcessId process, ServerId server, double perSecond, long nowNanos) {
        Report report = reports.get(process);
        if (report == null || !report.callsPerSecond().containsKey(server)) {
            return OptionalDouble.empty();
        }
        Division division = divisions.get(server);
        if (division == null || !isCurrent(division, nowNanos)) {
            Set<ProcessId> incumbents =
                    division == null ? Set.of() : division.shares().keySet();
            division = new Division(divide(server, perSecond, incumbents, nowNanos), nowNanos);
            divisions.put(server, division);
        }
        return OptionalDouble.of(division.shares().getOrDefault(process, 0.0));
    }

    private Map<ProcessId, Double> divide(ServerId server, double perSecond, Set<ProcessId> incumbents, long nowNanos) {
        List<Candidate> sharing = reports.entrySet().stream()
                .filter(entry -> entry.getValue().isFresh(nowNanos))
                .map(entry -> candidate(
                        entry.getKey(),
                        server,
                        entry.getValue().callsPerSecond().getOrDefault(server, 0.0)))
                .filter(candidate -> candidate.callsPerSecond() >= MIN_DEMAND)
                .sorted(Comparator.comparingDouble((Candidate candidate) ->
                                candidate.score() * (incumbents.contains(candidate.process()) ? INCUMBENT_FACTOR : 1))
                        .reversed())
                .limit(MIN_SHARING + (long) (SHARING_PER_LIMIT * perSecond))
                .toList();
        double total = sharing.stream().mapToDouble(Candidate::callsPerSecond).sum();
        double reporting = Math.min(1, (double) reports.size() / processes.senderCount(nowNanos));
        return sharing.stream()
                .collect(Collectors.toMap(
                        Candidate::process, candidate -> reporting * candidate.callsPerSecond() / total));
    }

    /** Scores a process by weighted rendezvous hashing, so that the same processes keep their shares. */
    private static Candidate candidate(ProcessId process, ServerId server, double callsPerSecond) {
        long hash = Hash.mix(Hash.of(process.value()) ^ Hash.of(server.value()));
        double uniform = ((hash >>> HASH_SHIFT) + 0.5) / HASH_RANGE;
        return new Candidate(process, callsPerSecond, -callsPerSecond / Math.log(uniform));
    }
}
