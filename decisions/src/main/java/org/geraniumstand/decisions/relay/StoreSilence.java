package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Moment;

/** Decides whether a server that was lost may have started again without news of it; belongs to one thread. */
@Decision(
        name = "store-silence",
        summary =
                "A server that was lost may have started again unseen while nothing is heard of the store, and until its entry"
                        + " is written and heard after that.")
public final class StoreSilence {
    /** Milliseconds without news after which the store counts as silent; it is heard of several times a second. */
    private static final long SILENT_MILLIS = 1_500;

    /** Milliseconds after the silence in which entries are written and heard: a heartbeat of 1,200 and the way. */
    private static final long ENTRY_MILLIS = 1_600;

    /** Milliseconds for which a server that crashed may be away before it starts again. */
    private static final long AWAY_MILLIS = 10_000;

    private boolean heard;
    private long informedNanos;
    private boolean wasSilent;
    private long silentFromNanos;
    private long silentUntilNanos;

    /** Creates a store that was never heard of, and of which nothing is expected. */
    public StoreSilence() {}

    /**
     * Takes in that all changes in the store up to now are known.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onInformed(long nowNanos) {
        if (silent(nowNanos)) {
            wasSilent = true;
            silentFromNanos = informedNanos;
            silentUntilNanos = nowNanos;
        }
        heard = true;
        informedNanos = nowNanos;
    }

    /**
     * Returns whether the store is silent.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public boolean silent(long nowNanos) {
        return heard && nowNanos - informedNanos >= SILENT_MILLIS * Moment.NANOS_PER_MILLI;
    }

    /**
     * Returns whether a server that was lost may have started again unseen.
     *
     * @param lostNanos when it was lost, on the monotonic clock in nanoseconds
     * @param nowNanos the monotonic time in nanoseconds
     */
    public boolean mayHaveStarted(long lostNanos, long nowNanos) {
        if (silent(nowNanos)) {
            return lostNanos - informedNanos > -AWAY_MILLIS * Moment.NANOS_PER_MILLI;
        }
        return wasSilent
                && lostNanos - silentFromNanos > -AWAY_MILLIS * Moment.NANOS_PER_MILLI
                && nowNanos - silentUntilNanos < ENTRY_MILLIS * Moment.NANOS_PER_MILLI;
    }
}
