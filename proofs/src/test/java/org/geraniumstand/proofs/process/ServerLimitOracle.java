package org.geraniumstand.proofs.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;

/** Judges from what servers and callers saw whether processes keep and use the limits that servers name. */
final class ServerLimitOracle {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long WINDOW_NANOS = 4_000 * NANOS_PER_MILLI;
    private static final long TOLD_NANOS = 500 * NANOS_PER_MILLI;
    private static final long CONTACT_NANOS = RelayHost.CONTACT_MILLIS * NANOS_PER_MILLI;
    private static final double OVERRUN = 1.5;
    private static final double SLACK = 5;

    private final Map<String, Queue<Arrival>> arrivals = new ConcurrentHashMap<>();
    private final Queue<PassedOn> passedOn = new ConcurrentLinkedQueue<>();
    private final List<Disruption> disruptions = new CopyOnWriteArrayList<>();
    private final Map<String, List<Phase>> phases = new ConcurrentHashMap<>();

    private record Arrival(long nanos, int process) {}

    private record PassedOn(long nanos, String server, int process) {}

    /** A kill or a freeze of a process, up to the moment at which it serves again. */
    private record Disruption(int process, long startNanos, long endNanos) {}

    /** A time in which a server names the same limit, in requests per second. */
    record Phase(double limit, long startNanos, long endNanos) {
        private double seconds() {
            return (endNanos - startNanos) / NANOS_PER_SECOND;
        }
    }

    void arrived(String server, int process) {
        arrivals.computeIfAbsent(server, _server -> new ConcurrentLinkedQueue<>())
                .add(new Arrival(System.nanoTime(), process));
    }

    /** Records that a process has passed on an answer in which a server named a limit. */
    void passedOn(String server, int process) {
        passedOn.add(new PassedOn(System.nanoTime(), server, process));
    }

    void disrupted(int process, long startNanos, long endNanos) {
        disruptions.add(new Disruption(process, startNanos, endNanos));
    }

    /** Records a limit that a server has named without interruption since the end of its phase before. */
    void named(String server, double limit, long startNanos, long endNanos) {
        List<Phase> named = phases.computeIfAbsent(server, _server -> new ArrayList<>());
        int last = named.size() - 1;
        if (last >= 0 && named.get(last).limit() == limit) {
            named.set(last, new Phase(limit, named.get(last).startNanos(), endNanos));
        } else {
            named.add(new Phase(limit, startNanos, endNanos));
        }
    }

    /** Returns whether a process is killed or frozen in some part of a span, or was shortly before. */
    boolean disruptedWithin(int process, long startNanos, long endNanos) {
        return disruptions.stream()
                .anyMatch(d -> d.process() == process
                        && d.startNanos() <= endNanos
                        && startNanos <= d.endNanos() + CONTACT_NANOS);
    }

    long count(String server, long startNanos, long endNanos) {
        return arrivals.getOrDefault(server, new ConcurrentLinkedQueue<>()).stream()
                .filter(arrival -> arrival.nanos() >= startNanos && arrival.nanos() < endNanos)
                .count();
    }

    /** Returns the windows in which a server received more requests than its limit allows, the worst of each server. */
    List<String> exceeded() {
        List<String> exceeded = new ArrayList<>();
        phases.forEach((server, named) -> {
            long first = named.get(0).startNanos();
            long last = named.get(named.size() - 1).endNanos();
            List<Arrival> counted = arrivals.getOrDefault(server, new ConcurrentLinkedQueue<>()).stream()
                    .filter(arrival -> arrival.nanos() >= first + CONTACT_NANOS && arrival.nanos() < last)
                    .filter(arrival -> told(server, arrival, first))
                    .toList();
            String worst = "";
            double worstExcess = 0;
            for (Arrival start : counted) {
                long end = start.nanos() + WINDOW_NANOS;
                long count = counted.stream()
                        .filter(arrival -> arrival.nanos() >= start.nanos() && arrival.nanos() < end)
                        .count();
                double limit = highestLimit(named, start.nanos() - CONTACT_NANOS, end);
                double allowed = OVERRUN * limit * WINDOW_NANOS / NANOS_PER_SECOND + SLACK;
                if (count - allowed > worstExcess) {
                    worstExcess = count - allowed;
                    worst = String.format(
                            Locale.ROOT,
                            "%s, which named %.1f a second, received %d requests in 4 s, %.1f are allowed",
                            server,
                            limit,
                            count,
                            allowed);
                }
            }
            if (worstExcess > 0) {
                exceeded.add(worst);
            }
        });
        return exceeded;
    }

    /** Returns what share of each limit was used, from the moment from which the limit holds. */
    Map<String, Double> used() {
        Map<String, Double> used = new ConcurrentHashMap<>();
        phases.forEach((server, named) -> named.forEach(phase -> {
            long start = phase.startNanos() + CONTACT_NANOS;
            double seconds = phase.seconds() - CONTACT_NANOS / NANOS_PER_SECOND;
            used.put(
                    server + " at " + phase.limit() + " a second",
                    Math.round(100 * count(server, start, phase.endNanos()) / (phase.limit() * seconds)) / 100.0);
        }));
        return used;
    }

    private static double highestLimit(List<Phase> named, long startNanos, long endNanos) {
        return named.stream()
                .filter(phase -> phase.startNanos() < endNanos && phase.endNanos() > startNanos)
                .mapToDouble(Phase::limit)
                .max()
                .orElse(Double.POSITIVE_INFINITY);
    }

    /** Returns whether the process that sent a request had passed on a limit of the server, since it was last disrupted. */
    private boolean told(String server, Arrival arrival, long firstNanos) {
        long since = firstNanos;
        for (Disruption disruption : disruptions) {
            if (disruption.process() == arrival.process() && disruption.startNanos() <= arrival.nanos()) {
                since = Math.max(since, disruption.endNanos());
            }
        }
        long toldSince = since;
        return passedOn.stream()
                .anyMatch(answer -> answer.process() == arrival.process()
                        && answer.server().equals(server)
                        && answer.nanos() >= toldSince
                        && answer.nanos() <= arrival.nanos() - TOLD_NANOS);
    }
}
