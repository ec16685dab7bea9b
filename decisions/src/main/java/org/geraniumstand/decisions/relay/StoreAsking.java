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
    /** Most milliseconds after which readers that were not readerSeen count as lost; each tells at least every 750. */
    private static final long MAX_READER_SILENCE_MILLIS = 1_200;

    /** The same as a part of the time in which all must know of a server that leaves; the rest is for asking and reading. */
    private static final double READER_SILENCE_SHARE = 0.6;

    /** Most milliseconds that a call waits for changes; a reader is taken for lost soon after. */
    private static final long MAX_WATCH_MILLIS = 500;

    /** The same as a part of the time in which all must know, as what is told meanwhile may be lost with the call. */
    private static final double WATCH_SHARE = 0.25;

    private final long readerTimeoutNanos;
    private final long watchMillis;
    private boolean reader;
    private long missedRevision;
    private boolean behind;
    private boolean readerSeen;
    private long readerSeenNanos;

    /**
     * Creates a process that asks itself, as it knows of no other.
     *
     * @param bounds the times to keep
     */
    public StoreAsking(StoreBounds bounds) {
        long drainMillis = bounds.drainMillis();
        this.readerTimeoutNanos =
                Math.min(MAX_READER_SILENCE_MILLIS, Math.round(READER_SILENCE_SHARE * drainMillis)) * Moment.NANOS_PER_MILLI;
        this.watchMillis = Math.min(MAX_WATCH_MILLIS, Math.round(WATCH_SHARE * drainMillis));
    }

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
        readerSeen = true;
        readerSeenNanos = nowNanos;
    }

    /**
     * Takes in that changes were missed.
     *
     * @param revision the revision up to which there are any
     */
    public void onMissed(long revision) {
        behind = true;
        missedRevision = Math.max(missedRevision, revision);
    }

    /**
     * Takes in that the store itself told all changes up to a revision.
     *
     * @param revision the revision
     */
    public void onAnswered(long revision) {
        behind = behind && revision < missedRevision;
    }

    /** Takes in that all entries were read. */
    public void onWhole() {
        behind = false;
    }

    /** Returns whether changes were missed that the store did not tell since. */
    public boolean behind() {
        return behind;
    }

    /** Returns for how long a call may wait for changes, in milliseconds. */
    public long watchMillis() {
        return watchMillis;
    }

    /**
     * Returns whether this process asks the store.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public boolean asks(long nowNanos) {
        return reader || behind || !readerSeen || nowNanos - readerSeenNanos > readerTimeoutNanos;
    }
}
