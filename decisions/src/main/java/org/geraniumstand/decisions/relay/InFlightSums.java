package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.ServerInFlight;
import org.geraniumstand.model.relay.SlownessNews;
import org.geraniumstand.model.time.Timestamp;

/** Sums the calls that all processes have in flight at each server. Not thread-safe. */
@Decision(
        name = "in-flight-sums",
        summary = "Each process reports its in-flight calls by server to an aggregator "
                + "and receives the sum over all others, so that hundreds of processes do "
                + "not all send to a server that each of them considers idle.")
public final class InFlightSums {
    /** Milliseconds after which the report of a process expires; processes report several times a second. */
    private static final long REPORT_VALID_MILLIS = 1_500;

    private static final Sum NONE = new Sum(0, 0);

    private final Map<ProcessId, Report> reports = new HashMap<>();
    private final Map<ServerId, Sum> sums = new HashMap<>();
    private final Map<ServerId, Stated> slowness = new HashMap<>();
    private long latestNanos;

    private record Sum(int calls, long pendingTokens) {
        Sum plus(ServerInFlight added, int sign) {
            return new Sum(calls + sign * added.calls(), pendingTokens + sign * added.pendingTokens());
        }

        boolean isZero() {
            return calls == 0 && pendingTokens == 0;
        }
    }

    /** Holds the latest that any process heard of a server's host, and when the server stated it. */
    private record Stated(int percent, long atNanos) {
        SlownessNews news(long nowNanos) {
            return new SlownessNews(percent, (nowNanos - atNanos) / Timestamp.NANOS_PER_MILLI);
        }
    }

    private record Report(List<ServerInFlight> uses, long atNanos) {}

    /** Creates sums without any report. */
    public InFlightSums() {}

    /**
     * Records the calls that a process has in flight; servers missing from the report have none of its calls.
     *
     * @param process the reporting process
     * @param inFlightByServer its in-flight calls by server
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onReport(ProcessId process, List<ServerInFlight> inFlightByServer, long nowNanos) {
        Report before = reports.put(process, new Report(List.copyOf(inFlightByServer), nowNanos));
        if (before != null) {
            add(before.uses(), -1);
        }
        add(inFlightByServer, 1);
        latestNanos = nowNanos;
        for (ServerInFlight reported : inFlightByServer) {
            reported.slowness().filter(InFlightSums::isRecent).ifPresent(news -> {
                long atNanos = nowNanos - news.ageMillis() * Timestamp.NANOS_PER_MILLI;
                slowness.merge(
                        reported.server(),
                        new Stated(news.percent(), atNanos),
                        (known, told) -> told.atNanos() - known.atNanos() > 0 ? told : known);
            });
        }
    }

    private static boolean isRecent(SlownessNews news) {
        return news.ageMillis() >= 0 && news.ageMillis() <= REPORT_VALID_MILLIS;
    }

    private void add(List<ServerInFlight> inFlightByServer, int sign) {
        for (ServerInFlight serverInFlight : inFlightByServer) {
            // Removes entries with a sum of zero, so that servers that no longer exist are not retained.
            sums.compute(serverInFlight.server(), (_server, before) -> {
                Sum after = (before == null ? NONE : before).plus(serverInFlight, sign);
                return after.isZero() ? null : after;
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
        latestNanos = nowNanos;
        slowness.values()
                .removeIf(stated -> nowNanos - stated.atNanos() > REPORT_VALID_MILLIS * Timestamp.NANOS_PER_MILLI);
        Iterator<Map.Entry<ProcessId, Report>> iterator = reports.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<ProcessId, Report> entry = iterator.next();
            boolean expired = nowNanos - entry.getValue().atNanos() > REPORT_VALID_MILLIS * Timestamp.NANOS_PER_MILLI;
            if (expired || !live.contains(entry.getKey())) {
                add(entry.getValue().uses(), -1);
                iterator.remove();
            }
        }
    }

    /**
     * Returns the in-flight calls of all processes except one, by server, with what any process heard of the hosts, at its age
     * at the latest report.
     *
     * @param process the process to exclude
     */
    public List<ServerInFlight> sumExcluding(ProcessId process) {
        Map<ServerId, ServerInFlight> own = new HashMap<>();
        Report ownReport = reports.get(process);
        if (ownReport != null) {
            ownReport.uses().forEach(serverInFlight -> own.put(serverInFlight.server(), serverInFlight));
        }
        List<ServerInFlight> others = new ArrayList<>();
        Set<ServerId> told = new HashSet<>();
        sums.forEach((server, sum) -> {
            ServerInFlight mine = own.get(server);
            Sum remaining = mine == null ? sum : sum.plus(mine, -1);
            if (remaining.calls() > 0) {
                Optional<SlownessNews> news =
                        Optional.ofNullable(slowness.get(server)).map(stated -> stated.news(latestNanos));
                others.add(new ServerInFlight(server, remaining.calls(), Math.max(0, remaining.pendingTokens()), news));
                told.add(server);
            }
        });
        slowness.forEach((server, stated) -> {
            if (!told.contains(server)) {
                others.add(new ServerInFlight(server, 0, 0, Optional.of(stated.news(latestNanos))));
            }
        });
        return others;
    }
}
