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

/** Adds up what all processes have in flight at each server, for those that ask; it belongs to one thread. */
@Decision(
        name = "in-flight-sums",
        summary =
                "Each process tells an aggregator its calls in flight by server and is told the sum of all others, so that"
                        + " hundreds of processes do not all send to the server that each of them alone finds idle.")
public final class InFlightSums {
    /** Milliseconds after which what a process told no longer counts; processes tell a few times a second. */
    private static final long HEARD_MILLIS = 1_500;

    private final Map<ProcessId, Told> told = new HashMap<>();
    private final Map<ServerId, Integer> sums = new HashMap<>();

    private record Told(List<ServerUse> uses, long atNanos) {}

    /** Creates sums to which nobody has told anything. */
    public InFlightSums() {}

    /**
     * Takes in what a process has in flight now; servers that it leaves out have none of its calls.
     *
     * @param process the process
     * @param uses its calls in flight by server
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onTold(ProcessId process, List<ServerUse> uses, long nowNanos) {
        Told before = told.put(process, new Told(List.copyOf(uses), nowNanos));
        if (before != null) {
            add(before.uses(), -1);
        }
        add(uses, 1);
    }

    private void add(List<ServerUse> uses, int sign) {
        for (ServerUse use : uses) {
            // A sum of zero is left out, so that servers that are gone are not kept.
            sums.merge(use.server(), sign * use.calls(), (a, b) -> a + b == 0 ? null : a + b);
        }
    }

    /**
     * Forgets processes that are gone or silent.
     *
     * @param live the live processes
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void retain(Set<ProcessId> live, long nowNanos) {
        Iterator<Map.Entry<ProcessId, Told>> all = told.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<ProcessId, Told> entry = all.next();
            boolean silent = nowNanos - entry.getValue().atNanos() > HEARD_MILLIS * Moment.NANOS_PER_MILLI;
            if (silent || !live.contains(entry.getKey())) {
                add(entry.getValue().uses(), -1);
                all.remove();
            }
        }
    }

    /**
     * Returns what all processes but one have in flight.
     *
     * @param process the one that is left out
     */
    public List<ServerUse> without(ProcessId process) {
        Map<ServerId, Integer> own = new HashMap<>();
        Told of = told.get(process);
        if (of != null) {
            of.uses().forEach(use -> own.put(use.server(), use.calls()));
        }
        List<ServerUse> others = new ArrayList<>();
        sums.forEach((server, calls) -> {
            int left = calls - own.getOrDefault(server, 0);
            if (left > 0) {
                others.add(new ServerUse(server, left));
            }
        });
        return others;
    }
}
