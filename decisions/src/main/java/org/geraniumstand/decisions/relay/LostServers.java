package org.geraniumstand.decisions.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.ServerLoss;
import org.geraniumstand.model.time.Moment;

/** Gathers which servers any process lost; it belongs to one thread. */
@Decision(
        name = "lost-servers",
        summary =
                "An aggregator tells all processes which servers any of them lost lately, as each process alone meets a server"
                        + " only every few seconds.")
public final class LostServers {
    /** Milliseconds for which a loss is told; an outage in which it matters lasts for some seconds. */
    private static final long RETENTION_MILLIS = 10_000;

    private final Map<ServerId, Long> lostNanos = new HashMap<>();

    /** Creates a gatherer to which nobody has told anything. */
    public LostServers() {}

    /**
     * Takes in what a process lost.
     *
     * @param losses its losses
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onTold(List<ServerLoss> losses, long nowNanos) {
        for (ServerLoss loss : losses) {
            long at = nowNanos - loss.ageMillis() * Moment.NANOS_PER_MILLI;
            lostNanos.merge(loss.server(), at, (a, b) -> a - b > 0 ? a : b);
        }
    }

    /**
     * Returns the losses of the last seconds.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public List<ServerLoss> lately(long nowNanos) {
        lostNanos.values().removeIf(at -> nowNanos - at > RETENTION_MILLIS * Moment.NANOS_PER_MILLI);
        return lostNanos.entrySet().stream()
                .map(entry -> new ServerLoss(entry.getKey(), (nowNanos - entry.getValue()) / Moment.NANOS_PER_MILLI))
                .toList();
    }
}
