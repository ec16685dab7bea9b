package org.geraniumstand.decisions.capacity;

import java.util.HashMap;
import java.util.Map;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.time.Timestamp;

/** Delays scale-down, so that a short dip in the load does not stop hosts. */
@Decision(
        name = "stop-delay",
        summary = "A service is scaled down only after its load has stayed below its peak for ten minutes.")
public final class ScaleDownStabilization {
    private static final long STABILIZATION_WINDOW_MILLIS = 600_000;

    private final Map<ServiceId, Peak> peaks = new HashMap<>();

    private record Peak(int servers, Timestamp reachedAt) {}

    /**
     * Returns the number of servers to plan for.
     *
     * @param service id of the service
     * @param needed number of servers that the current load requires
     * @param now the current time
     */
    public int stabilize(ServiceId service, int needed, Timestamp now) {
        Peak peak = peaks.get(service);
        boolean replacePeak = peak == null
                || needed >= peak.servers()
                || now.millisSince(peak.reachedAt()) >= STABILIZATION_WINDOW_MILLIS;
        if (replacePeak) {
            peaks.put(service, new Peak(needed, now));
            return needed;
        }
        return peak.servers();
    }
}
