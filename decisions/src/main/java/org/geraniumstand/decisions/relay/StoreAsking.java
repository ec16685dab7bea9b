package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Moment;

/** Decides whether this process asks the store for changes itself; it belongs to one thread. */
@Decision(
        name = "store-asking",
        summary =
                "Two processes ask the store for changes and tell the others, who ask it themselves once they have heard"
                        + " neither for a moment or have missed a change.")
public final class StoreAsking {
    /**
     * Milliseconds after which readers that were not heard count as lost; each tells at least every 750, and a server
     * that leaves must be known to all within 2,000.
     */
    private static final long HEARD_MILLIS = 1_200;

    private boolean reader;
    private boolean behind = true;
    private boolean heard;
    private long heardNanos;

    /** Creates a process that asks itself, as it knows of no other. */
    public StoreAsking() {}

    /**
     * Takes in whether this process is one of those that ask for all.
     *
     * @param isReader whether it is
     */
    public void onReader(boolean isReader) {
        reader = isReader;
    }

    /** Returns whether this process asks for all. */
    public boolean reader() {
        return reader;
    }

    /**
     * Takes in that a reader told all changes up to now.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onTold(long nowNanos) {
        heard = true;
        heardNanos = nowNanos;
    }

    /** Takes in that changes were missed. */
    public void onMissed() {
        behind = true;
    }

    /** Takes in that the store itself told all changes up to now. */
    public void onAnswered() {
        behind = false;
    }

    /**
     * Returns whether this process asks the store.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public boolean asks(long nowNanos) {
        return reader || behind || !heard || nowNanos - heardNanos > HEARD_MILLIS * Moment.NANOS_PER_MILLI;
    }
}
