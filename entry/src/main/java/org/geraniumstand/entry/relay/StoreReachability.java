package org.geraniumstand.entry.relay;

import java.util.function.LongSupplier;
import org.geraniumstand.decisions.relay.StoreBounds;
import org.geraniumstand.decisions.relay.StoreOutage;
import org.geraniumstand.model.time.Moment;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.outside.store.StoreError;
import org.geraniumstand.support.log.Log;

/** Follows whether the store can be reached, by this process's own calls and by what peers saw; belongs to one thread. */
final class StoreReachability {
    private static final Log LOG = Log.of(StoreReachability.class);

    /** Shortest pause after a failed call. */
    private static final long FIRST_PAUSE_MILLIS = 100;

    /** Longest time between two calls that fail; entries must be back in use within seconds of the store's return. */
    private static final long LONGEST_PAUSE_MILLIS = 800;

    /** Milliseconds that a call waits for changes while calls fail, as then it only asks whether the store answers. */
    private static final long PROBE_MILLIS = 100;

    /** Milliseconds beyond its wait after which a call's answer is overdue; the store answers in a few. */
    private static final long OVERDUE_MILLIS = 250;

    private final LongSupplier clock;
    private final StoreOutage outage;
    private long pauseMillis = FIRST_PAUSE_MILLIS;

    /** Whether the last call failed. */
    private boolean lost;

    /** Whether a call is under way, when it was made on the monotonic clock in nanoseconds, and how long it waits. */
    private boolean asked;

    private long askedNanos;
    private long waitMillis;

    /** When all changes up to then were last known, on the monotonic clock in nanoseconds. */
    private long informedNanos;

    StoreReachability(StoreBounds bounds, LongSupplier clock) {
        this.clock = clock;
        this.informedNanos = clock.getAsLong();
        this.outage = new StoreOutage(bounds, informedNanos);
    }

    /**
     * Takes in that a call is made.
     *
     * @param usualMillis how long it would wait for changes if the last call did not fail
     * @return how long it waits, in milliseconds
     */
    long onAsk(long usualMillis) {
        askedNanos = clock.getAsLong();
        waitMillis = lost ? Math.min(PROBE_MILLIS, usualMillis) : usualMillis;
        asked = true;
        return waitMillis;
    }

    /** Takes in that the store answered. */
    void onAnswered() {
        asked = false;
        pauseMillis = FIRST_PAUSE_MILLIS;
        outage.onReached(clock.getAsLong());
        if (lost) {
            lost = false;
            LOG.info("store-regained");
        }
    }

    /** Takes in that a peer tells what the store answered it. */
    void onPeerReached() {
        if (asked && millisSince(askedNanos) > waitMillis + OVERDUE_MILLIS) {
            outage.onFailed(askedNanos, clock.getAsLong());
        }
        outage.onReached(clock.getAsLong());
    }

    /**
     * Takes in that a call failed.
     *
     * @param error how
     * @return the pause before the next call, in milliseconds
     */
    long onFailed(StoreError error) {
        asked = false;
        if (!lost) {
            lost = true;
            LOG.warn("store-lost", Field.of("error", error));
        }
        if (outage.onFailed(askedNanos, clock.getAsLong())) {
            LOG.info("store-outage", Field.of("informedMillis", informedMillis()));
        }
        long pause = Math.max(FIRST_PAUSE_MILLIS, pauseMillis - millisSince(askedNanos));
        pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, 2 * pauseMillis);
        return pause;
    }

    /** Takes in that all changes up to now are known. */
    void onInformed() {
        informedNanos = clock.getAsLong();
    }

    /** Returns how long ago all changes were known, in milliseconds. */
    long informedMillis() {
        return millisSince(informedNanos);
    }

    /** Returns for how long an entry that vanishes now may be missing only, in milliseconds. */
    long holdMillis() {
        return outage.holdMillis(clock.getAsLong());
    }

    private long millisSince(long nanos) {
        return (clock.getAsLong() - nanos) / Moment.NANOS_PER_MILLI;
    }
}
