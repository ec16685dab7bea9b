package org.geraniumstand.decisions.capacity;

import java.util.HashMap;
import java.util.Map;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.time.Moment;

/** Decides how many servers to plan for when the need falls, so that a short dip stops no host. */
@Decision(
        name = "stop-delay",
        summary = "A service keeps the largest need of the last ten minutes, so that a short dip stops no host.")
public final class StopDelay {
    private static final long HOLD_MILLIS = 600_000;

    private final Map<ServiceId, Held> held = new HashMap<>();

    private record Held(int needed, Moment since) {}

    /**
     * Returns the servers to plan for.
     *
     * @param service the service
     * @param needed the servers needed now
     * @param now the time
     */
    public int hold(ServiceId service, int needed, Moment now) {
        Held last = held.get(service);
        boolean take = last == null || needed >= last.needed() || now.millisSince(last.since()) >= HOLD_MILLIS;
        if (take) {
            held.put(service, new Held(needed, now));
            return needed;
        }
        return last.needed();
    }
}
