package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.relay.WaitingCalls;
import org.geraniumstand.model.time.Timestamp;

/** Sums the calls that wait at all processes, by service, rank and team. Not thread-safe. */
@Decision(
        name = "waiting-sums",
        summary = "Each process reports to an aggregator which calls wait at it and which were "
                + "sent lately, and receives the sum over all others, so that each knows the whole line.")
public final class WaitingSums {
    /** Milliseconds after which the report of a process expires; processes report several times a second. */
    private static final long REPORT_VALID_MILLIS = 1_500;

    private final Map<ProcessId, Report> reports = new HashMap<>();
    private final Map<Key, Sum> sums = new HashMap<>();

    private record Report(List<WaitingCalls> lines, long atNanos) {}

    private record Key(ServiceId service, int rank, String team) {
        static Key of(WaitingCalls line) {
            return new Key(line.service(), line.rank(), line.team());
        }
    }

    private record Sum(int calls, int sentCalls, long sentWork) {
        static final Sum NONE = new Sum(0, 0, 0);

        Sum plus(WaitingCalls line, int sign) {
            return new Sum(
                    calls + sign * line.calls(),
                    sentCalls + sign * line.sentCalls(),
                    sentWork + sign * line.sentWork());
        }
    }

    /** Creates sums without any report. */
    public WaitingSums() {}

    /**
     * Records what waits at a process.
     *
     * @param process the reporting process
     * @param lines its waiting calls by service, rank and team
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onReport(ProcessId process, List<WaitingCalls> lines, long nowNanos) {
        Report before = lines.isEmpty()
                ? reports.remove(process)
                : reports.put(process, new Report(List.copyOf(lines), nowNanos));
        if (before != null) {
            add(before.lines(), -1);
        }
        add(lines, 1);
    }

    private void add(List<WaitingCalls> lines, int sign) {
        for (WaitingCalls line : lines) {
            sums.compute(Key.of(line), (_key, before) -> {
                Sum after = (before == null ? Sum.NONE : before).plus(line, sign);
                return after.equals(Sum.NONE) ? null : after;
            });
        }
    }

    /**
     * Removes the reports of processes that have ended or have stopped reporting.
     *
     * @param live the processes that are still members
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void retain(Set<ProcessId> live, long nowNanos) {
        reports.entrySet().removeIf(entry -> {
            boolean expired = nowNanos - entry.getValue().atNanos() > REPORT_VALID_MILLIS * Timestamp.NANOS_PER_MILLI;
            boolean removed = expired || !live.contains(entry.getKey());
            if (removed) {
                add(entry.getValue().lines(), -1);
            }
            return removed;
        });
    }

    /**
     * Returns what waits at all processes except one.
     *
     * @param process the process to exclude
     */
    public List<WaitingCalls> sumExcluding(ProcessId process) {
        Map<Key, WaitingCalls> own = new HashMap<>();
        Report ownReport = reports.get(process);
        if (ownReport != null) {
            ownReport.lines().forEach(line -> own.put(Key.of(line), line));
        }
        List<WaitingCalls> others = new ArrayList<>();
        sums.forEach((key, sum) -> {
            WaitingCalls mine = own.get(key);
            Sum rest = mine == null ? sum : sum.plus(mine, -1);
            if (!rest.equals(Sum.NONE)) {
                others.add(new WaitingCalls(
                        key.service(), key.rank(), key.team(), rest.calls(), rest.sentCalls(), rest.sentWork()));
            }
        });
        return others;
    }
}
