package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.relay.StoreRevision;
import org.geraniumstand.model.time.Timestamp;

/** Decides whether this process reads changes directly from the store. Not thread-safe. */
@Decision(
        name = "store-asking",
        summary = "Two processes read changes from the store and forward them to the others, which read "
                + "the store directly after a timeout without updates or after a missed change.")
public final class StoreReadPolicy {
    /**
     * Maximum milliseconds without an update after which the readers count as lost; each reader sends an update at
     * least every 750 ms.
     */
    private static final long MAX_READER_TIMEOUT_MILLIS = 1_200;

    /**
     * The same timeout as a fraction of the time within which all processes must learn of a draining server; the rest
     * is for calling the store and reading the entries.
     */
    private static final double READER_TIMEOUT_SHARE = 0.6;

    /** Maximum milliseconds that a watch call blocks; a reader counts as lost soon after. */
    private static final long MAX_WATCH_MILLIS = 500;

    /**
     * The same limit as a fraction of the time within which all processes must learn of a change, because changes that
     * arrive during a lost call are lost with it.
     */
    private static final double WATCH_SHARE = 0.25;

    private final long readerTimeoutNanos;
    private final long watchMillis;
    private boolean reader;
    private StoreRevision missedRevision = StoreRevision.NONE;
    private boolean behind;
    private boolean readerSeen;
    private long readerSeenNanos;

    /**
     * Creates a policy without a known reader, in which this process reads the store directly.
     *
     * @param bounds time limits from the settings
     */
    public StoreReadPolicy(StoreBounds bounds) {
        long drainMillis = bounds.drainMillis();
        this.readerTimeoutNanos = Math.min(MAX_READER_TIMEOUT_MILLIS, Math.round(READER_TIMEOUT_SHARE * drainMillis))
                * Timestamp.NANOS_PER_MILLI;
        this.watchMillis = Math.min(MAX_WATCH_MILLIS, Math.round(WATCH_SHARE * drainMillis));
    }

    /**
     * Records whether this process is one of the readers that forward changes.
     *
     * @param isReader whether this process is a reader
     */
    public void onReader(boolean isReader) {
        reader = isReader;
    }

    /** Returns whether this process is one of the readers that forward changes. */
    public boolean reader() {
        return reader;
    }

    /**
     * Records that a reader has forwarded all changes up to now.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onForwarded(long nowNanos) {
        readerSeen = true;
        readerSeenNanos = nowNanos;
    }

    /**
     * Records that changes were missed.
     *
     * @param revision the highest revision that may have been missed
     */
    public void onMissed(StoreRevision revision) {
        behind = true;
        missedRevision = StoreRevision.max(missedRevision, revision);
    }

    /**
     * Records that the store has delivered all changes up to a revision.
     *
     * @param revision the highest revision that the store delivered
     */
    public void onDelivered(StoreRevision revision) {
        behind = behind && missedRevision.isAfter(revision);
    }

    /** Records that all entries were read. */
    public void onFullRead() {
        behind = false;
    }

    /** Returns whether changes were missed that the store has not delivered since. */
    public boolean behind() {
        return behind;
    }

    /** Returns the maximum time that a watch call may block, in milliseconds. */
    public long watchMillis() {
        return watchMillis;
    }

    /**
     * Returns whether this process should read the store directly.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public boolean shouldRead(long nowNanos) {
        return reader || behind || !readerSeen || nowNanos - readerSeenNanos > readerTimeoutNanos;
    }
}
