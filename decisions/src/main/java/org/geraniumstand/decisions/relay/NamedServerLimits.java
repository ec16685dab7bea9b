package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.ServerLimit;
import org.geraniumstand.model.time.Timestamp;

/** Remembers the limits that servers name in their answers to any process. Not thread-safe. */
@Decision(
        name = "server-limits",
        summary = "The latest answer of a server's current start, to whichever process, tells how many requests "
                + "a second the server accepts from all processes together.")
public final class NamedServerLimits {
    /**
     * Lowest limit that is applied, in requests per second: without any request nobody would learn that the limit has
     * ended.
     */
    private static final double MIN_PER_SECOND = 0.1;

    /** Milliseconds for which the end of a limit is reported to other processes, which report several times a second. */
    private static final long END_REPORTED_MILLIS = 60_000;

    /** Minimum time between two changes of a server's limit that are reported for the log, in milliseconds. */
    private static final long MIN_CHANGE_MILLIS = 1_000;

    private static final int MAX_SERVERS = 1_024;

    /** Most limits in one report to other processes. */
    private static final int MAX_REPORTED = 32;

    private final Map<ServerId, Known> limits = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<ServerId, Known> _eldest) {
            return size() > MAX_SERVERS;
        }
    };

    /** The latest statement about a server, and the last one that was logged. */
    private record Known(
            long startEpochMillis, double perSecond, long answeredNanos, double loggedPerSecond, long loggedNanos) {
        boolean limited() {
            return Double.isFinite(perSecond);
        }
    }

    /** Creates a collection without limits. */
    public NamedServerLimits() {}

    /**
     * Records what a server named in an answer to this process.
     *
     * @param server the server that answered
     * @param perSecond requests per second that it accepts from all processes together; infinite if it named no limit
     * @param sentNanos when the request was sent; a limit that was named later is not ended by its answer
     * @param nowNanos the monotonic time in nanoseconds
     * @return whether the limit changed
     */
    public boolean onAnswer(RelayServer server, double perSecond, long sentNanos, long nowNanos) {
        Known known = limits.get(server.id());
        boolean ends = !Double.isFinite(perSecond);
        if (ends && (known == null || (known.limited() && sentNanos - known.answeredNanos() < 0))) {
            return false;
        }
        return record(new ServerLimit(server.id(), server.startEpochMillis(), perSecond, 0), nowNanos);
    }

    /**
     * Records what a server named in an answer to another process.
     *
     * @param limit the limit, with the age of the answer
     * @param nowNanos the monotonic time in nanoseconds
     * @return whether the limit changed
     */
    public boolean onRemote(ServerLimit limit, long nowNanos) {
        return !Double.isNaN(limit.perSecond()) && limit.perSecond() >= 0 && record(limit, nowNanos);
    }

    private boolean record(ServerLimit limit, long nowNanos) {
        Known known = limits.get(limit.server());
        long answeredNanos = nowNanos - Math.max(0, limit.ageMillis()) * Timestamp.NANOS_PER_MILLI;
        if (known == null || limit.startEpochMillis() > known.startEpochMillis()) {
            known = new Known(
                    limit.startEpochMillis(),
                    Double.POSITIVE_INFINITY,
                    answeredNanos,
                    Double.POSITIVE_INFINITY,
                    nowNanos - MIN_CHANGE_MILLIS * Timestamp.NANOS_PER_MILLI);
        } else if (limit.startEpochMillis() < known.startEpochMillis() || answeredNanos - known.answeredNanos() < 0) {
            return false;
        }
        boolean changed = Double.compare(limit.perSecond(), known.loggedPerSecond()) != 0
                && nowNanos - known.loggedNanos() >= MIN_CHANGE_MILLIS * Timestamp.NANOS_PER_MILLI;
        limits.put(
                limit.server(),
                new Known(
                        limit.startEpochMillis(),
                        limit.perSecond(),
                        answeredNanos,
                        changed ? limit.perSecond() : known.loggedPerSecond(),
                        changed ? nowNanos : known.loggedNanos()));
        return changed;
    }

    /**
     * Returns the requests per second that a server accepts from all processes together, if it has named a limit.
     *
     * @param server the server as it is registered now
     */
    public OptionalDouble perSecond(RelayServer server) {
        Known known = limits.get(server.id());
        return known == null || !known.limited() || server.startEpochMillis() > known.startEpochMillis()
                ? OptionalDouble.empty()
                : OptionalDouble.of(Math.max(MIN_PER_SECOND, known.perSecond()));
    }

    /** Returns the number of servers with a limit. */
    public long limitedServers() {
        return limits.values().stream().filter(Known::limited).count();
    }

    /**
     * Returns the limits to report to other processes, those answered last first.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public List<ServerLimit> recent(long nowNanos) {
        limits.values()
                .removeIf(known -> !known.limited()
                        && nowNanos - known.answeredNanos() > END_REPORTED_MILLIS * Timestamp.NANOS_PER_MILLI);
        List<ServerLimit> recent = new ArrayList<>();
        limits.forEach((server, known) -> recent.add(new ServerLimit(
                server,
                known.startEpochMillis(),
                known.perSecond(),
                Math.max(0, (nowNanos - known.answeredNanos()) / Timestamp.NANOS_PER_MILLI))));
        recent.sort(Comparator.comparingLong(ServerLimit::ageMillis));
        return List.copyOf(recent.subList(0, Math.min(MAX_REPORTED, recent.size())));
    }
}
