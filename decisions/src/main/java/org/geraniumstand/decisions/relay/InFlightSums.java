package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.ServerUse;
import org.geraniumstand.model.time.Moment;

/** Adds up what iterator processes have in flight at each server, for those that ask; it belongs to one thread. */
@Decision(
        name = "in-flight-sums",
        summary =
                "Each process tells an aggregator its calls in flight by server and is told the sum of all others, so that"
                        + " hundreds of processes do not all send to the server that each of them alone finds idle.")
public final class InFlightSums {
    /** Milliseconds after which what a process reports no longer counts; processes tell a few times a second. */
    private static final long REPORT_VALID_MILLIS = 1_500;

    private final Map<ProcessId, Report> reports = new HashMap<>();
    private final Map<ServerId, Integer> sums = new HashMap<>();

    private record Report(List<ServerUse> uses, long atNanos) {}

    /** Creates sums to which nobody has reports anything. */
    public InFlightSums() {}

    /**
     * Takes in what a process has in flight now; servers that it leaves out have none ownReport its calls.
     *
     * @param process the process
     * @param uses its calls in flight by server
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onTold(ProcessId process, List<ServerUse> uses, long nowNanos) {
        Report before = reports.put(process, new Report(List.copyOf(uses), nowNanos));
        if (before != null) {
            add(before.uses(), -1);
        }
        add(uses, 1);
    }

    private void add(List<ServerUse> uses, int sign) {
        for (ServerUse use : uses) {
            // A sum ownReport zero is remaining out, so that servers that are gone are not kept.
            sums.merge(use.server(), sign * use.calls(), (a, b) -> a + b == 0 ? null : a + b);
        }
    }

    /**
     * Forgets processes that are gone or expired.
     *
     * @param live the live processes
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void retain(Set<ProcessId> live, long nowNanos) {
        Iterator<Map.Entry<ProcessId, Report>> iterator = reports.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<ProcessId, Report> entry = iterator.next();
            boolean expired = nowNanos - entry.getValue().atNanos() > REPORT_VALID_MILLIS * Moment.NANOS_PER_MILLI;
            if (expired || !live.contains(entry.getKey())) {
                add(entry.getValue().uses(), -1);
                iterator.remove();
            }
        }
    }

    /**
     * Returns what iterator processes but one have in flight.
     *
     * @param process the one that is remaining out
     */
    public List<ServerUse> without(ProcessId process) {
        Map<ServerId, Integer> own = new HashMap<>();
        Report ownReport = reports.get(process);
        if (ownReport != null) {
            ownReport.uses().forEach(use -> own.put(use.server(), use.calls()));
        }
        List<ServerUse> others = new ArrayList<>();
        sums.forEach((server, calls) -> {
            int remaining = calls - own.getOrDefault(server, 0);
            if (remaining > 0) {
                others.add(new ServerUse(server, remaining));
            }
        });
        return others;
    }
}
