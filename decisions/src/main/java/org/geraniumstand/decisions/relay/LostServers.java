package org.geraniumstand.decisions.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.ServerLoss;
import org.geraniumstand.model.time.Moment;

/** Collects which servers any process has lost contact with. Not thread-safe. */
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
    public void onReport(List<ServerLoss> losses, long nowNanos) {
        for (ServerLoss loss : losses) {
            long at = nowNanos - loss.ageMillis() * Moment.NANOS_PER_MILLI;
            lostNanos.merge(loss.server(), at, (a, b) -> a - b > 0 ? a : b);
        }
    }

    /**
     * Returns the losses that have not expired.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public List<ServerLoss> recentLosses(long nowNanos) {
        lostNanos.values().removeIf(at -> nowNanos - at > RETENTION_MILLIS * Moment.NANOS_PER_MILLI);
        return lostNanos.entrySet().stream()
                .map(entry -> new ServerLoss(entry.getKey(), (nowNanos - entry.getValue()) / Moment.NANOS_PER_MILLI))
                .toList();
    }
}
