package org.geraniumstand.entry.timeline;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import org.geraniumstand.model.time.HybridTime;

/**
 * Returns monotonically increasing hybrid timestamps for the events of a process, greater than all timestamps received
 * from other processes.
 */
public final class HybridClock {
    private final LongSupplier wallMillis;
    private final AtomicReference<HybridTime> last = new AtomicReference<>(HybridTime.ZERO);

    /**
     * Creates a clock.
     *
     * @param wallMillis returns the wall clock time, in milliseconds since 1970
     */
    public HybridClock(LongSupplier wallMillis) {
        this.wallMillis = wallMillis;
    }

    /** Advances the clock and returns the timestamp of the next event. */
    public HybridTime next() {
        return last.updateAndGet(time -> time.next(wallMillis.getAsLong()));
    }

    /** Returns the timestamp of the last event. */
    public HybridTime last() {
        return last.get();
    }

    /**
     * Merges a timestamp received from another process.
     *
     * @param received received timestamp
     */
    public void merge(HybridTime received) {
        last.updateAndGet(time -> time.merge(received));
    }
}
