package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Moment;

/** Decides whether an entry that vanished may have lapsed in an outage of the store; belongs to one thread. */
@Decision(
        name = "store-outage",
        summary =
                "An entry that vanishes during or soon after an outage may belong to a server that lives, if the outage was"
                        + " long enough for entries to lapse.")
public final class StoreOutage {
    /**
     * Shortest outage that counts, in milliseconds: entries lapse after three heartbeats of about 1,200 are missing, so a
     * shorter one loses none; a single call that fails is none either.
     */
    private static final long LEAST_MILLIS = 1_500;

    /** Milliseconds after an outage in which entries may still vanish because of it. */
    private static final long AFTER_MILLIS = 4_000;

    private boolean out;
    private long sinceNanos;
    private boolean counts;
    private long lastNanos;

    /** Creates a store that was not out. */
    public StoreOutage() {}

    /**
     * Takes in that a call failed.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return whether the store was not out before
     */
    public boolean onFailed(long nowNanos) {
        boolean first = !out;
        if (first) {
            out = true;
            sinceNanos = nowNanos;
        }
        if (nowNanos - sinceNanos >= LEAST_MILLIS * Moment.NANOS_PER_MILLI) {
            onToldOfOutage(nowNanos);
        }
        return first;
    }

    /**
     * Takes in that a call was answered.
     *
     * @return whether the store was out before
     */
    public boolean onAnswered() {
        boolean before = out;
        out = false;
        return before;
    }

    /**
     * Takes in that a peer saw an outage that counts.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onToldOfOutage(long nowNanos) {
        counts = true;
        lastNanos = nowNanos;
    }

    /**
     * Returns whether an entry that vanishes now may have lapsed in an outage.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public boolean mayHaveLapsed(long nowNanos) {
        return counts && nowNanos - lastNanos < AFTER_MILLIS * Moment.NANOS_PER_MILLI;
    }
}
