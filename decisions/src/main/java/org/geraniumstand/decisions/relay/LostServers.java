package org.geraniumstand.decisions.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.LostServer;
import org.geraniumstand.model.time.Timestamp;

/** Collects the servers that any process has lost contact with. Not thread-safe. */
@Decision(
        name = "lost-servers",
        summary = "An aggregator reports recent server losses of any process to all processes, "
                + "because a single process contacts a given server only every few seconds.")
public final class LostServers {
    /** Milliseconds for which a loss is reported; the outages in which losses matter last several seconds. */
    private static final long RETENTION_MILLIS = 10_000;

    private final Map<ServerId, Long> lostNanos = new HashMap<>();

    /** Creates a collection without losses. */
    public LostServers() {}

    /**
     * Records the servers that a process has lost contact with.
     *
     * @param losses the losses that the process reports
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onReport(List<LostServer> losses, long nowNanos) {
        for (LostServer loss : losses) {
            long at = nowNanos - loss.ageMillis() * Timestamp.NANOS_PER_MILLI;
            lostNanos.merge(loss.server(), at, (a, b) -> a - b > 0 ? a : b);
        }
    }

    /**
     * Returns the losses that have not expired.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public List<LostServer> recentLosses(long nowNanos) {
        lostNanos.values().removeIf(at -> nowNanos - at > RETENTION_MILLIS * Timestamp.NANOS_PER_MILLI);
        return lostNanos.entrySet().stream()
                .map(entry -> new LostServer(entry.getKey(), (nowNanos - entry.getValue()) / Timestamp.NANOS_PER_MILLI))
                .toList();
    }
}
