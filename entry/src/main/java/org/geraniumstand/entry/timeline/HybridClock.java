package org.geraniumstand.entry.timeline;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import org.geraniumstand.model.time.HybridTime;

/** Gives events of one process times that never go back and that follow the times seen from other processes. */
public final class HybridClock {
    private final LongSupplier wallMillis;
    private final AtomicReference<HybridTime> last = new AtomicReference<>(HybridTime.ZERO);

    /**
     * Creates a clock.
     *
     * @param wallMillis reads the wall clock, in milliseconds since 1970
     */
    public HybridClock(LongSupplier wallMillis) {
        this.wallMillis = wallMillis;
    }

    /** Returns the time of the next event. */
    public HybridTime next() {
        return last.updateAndGet(time -> time.next(wallMillis.getAsLong()));
    }

    /** Returns the time of the last event. */
    public HybridTime last() {
        return last.get();
    }

    /**
     * Takes in a time that came with a message of another process.
     *
     * @param seen its time
     */
    public void merge(HybridTime seen) {
        last.updateAndGet(time -> time.merge(seen));
    }
}
