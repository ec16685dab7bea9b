package org.geraniumstand.decisions.capacity;

import java.util.HashMap;
import java.util.Map;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.HostPool;
import org.geraniumstand.model.time.Moment;

/** Decides when a pool that refused a start is asked again. */
@Decision(
        name = "pool-backoff",
        summary = "A pool that refuses starts is asked again after a time that doubles with each refusal.")
public final class PoolBackoff {
    private static final long FIRST_MILLIS = 15_000;
    private static final long MAX_MILLIS = 480_000;
    private static final int MAX_DOUBLINGS = 16;

    private final Map<HostPool, Refused> refused = new HashMap<>();

    private record Refused(int times, Moment until) {}

    /**
     * Takes in that a pool refused a start.
     *
     * @param pool the pool
     * @param now the time
     */
    public void onRefused(HostPool pool, Moment now) {
        Refused last = refused.get(pool);
        if (last != null && now.millisSince(last.until()) < 0) {
            return;
        }
        int times = last == null ? 1 : last.times() + 1;
        long wait = Math.min(MAX_MILLIS, FIRST_MILLIS << Math.min(MAX_DOUBLINGS, times - 1));
        Moment until = new Moment(now.nanos() + wait * Moment.NANOS_PER_MILLI, now.epochMillis() + wait);
        refused.put(pool, new Refused(times, until));
    }

    /**
     * Takes in that a pool started a host.
     *
     * @param pool the pool
     */
    public void onStarted(HostPool pool) {
        refused.remove(pool);
    }

    /**
     * Tells whether a pool may be asked.
     *
     * @param pool the pool
     * @param now the time
     */
    public boolean mayAsk(HostPool pool, Moment now) {
        Refused last = refused.get(pool);
        return last == null || now.millisSince(last.until()) >= 0;
    }
}
