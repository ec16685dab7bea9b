package org.geraniumstand.entry.relay;

import java.util.function.LongSupplier;
import org.geraniumstand.decisions.relay.StoreBounds;
import org.geraniumstand.decisions.relay.StoreOutage;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.outside.store.StoreError;
import org.geraniumstand.support.log.Log;

/** Tracks whether the store is reachable, from the calls of this process and from reports of peers; not thread-safe. */
final class StoreReachability {
    private static final Log LOG = Log.of(StoreReachability.class);

    /** Shortest interval between two failing calls, in milliseconds. */
    private static final long MIN_BACKOFF_MILLIS = 100;

    /**
     * Longest interval between two failing calls, in milliseconds; entries must be in use again within seconds of the
     * store's recovery.
     */
    private static final long MAX_BACKOFF_MILLIS = 800;

    /** Time for which a call waits for changes while calls fail, in milliseconds; it only probes the store. */
    private static final long PROBE_MILLIS = 100;

    /**
     * Time after the wait of a call at which its answer is overdue, in milliseconds; the store usually answers within a
     * few.
     */
    private static final long OVERDUE_MILLIS = 250;

    /**
     * Time without an update after which the store may be away again without a failed call, in milliseconds; updates arrive
     * several times a second.
     */
    private static final long SILENT_MILLIS = 800;

    private final LongSupplier clock;
    private final StoreOutage outage;
    private long backoffMillis = MIN_BACKOFF_MILLIS;

    /** Whether the last call failed. */
    private boolean failing;

    /** Whether a call is pending; the next two fields hold its start on the monotonic clock and its wait for changes. */
    private boolean callPending;

    private long callStartNanos;
    private long callWaitMillis;

    /** When this process last had all changes of the store, on the monotonic clock in nanoseconds. */
    private long upToDateNanos;

    StoreReachability(StoreBounds bounds, LongSupplier clock) {
        this.clock = clock;
        this.upToDateNanos = clock.getAsLong();
        this.outage = new StoreOutage(bounds, upToDateNanos);
    }

    /**
     * Records the start of a call.
     *
     * @param usualMillis how long the call waits for changes if the last one succeeded, in milliseconds
     * @return how long the call waits for changes, in milliseconds
     */
    long onCall(long usualMillis) {
        callStartNanos = clock.getAsLong();
        callWaitMillis = failing ? Math.min(PROBE_MILLIS, usualMillis) : usualMillis;
        callPending = true;
        return callWaitMillis;
    }

    /** Records that the store answered a call. */
    void onAnswered() {
        callPending = false;
        backoffMillis = MIN_BACKOFF_MILLIS;
        outage.onReached(clock.getAsLong());
        if (failing) {
            failing = false;
            LOG.info("store-regained");
        }
    }

    /** Records that the store was restored from a backup, which may lack entries of live servers. */
    void onRestored() {
        outage.onRestored(clock.getAsLong());
    }

    /** Records that a peer received an answer from the store; an overdue call of this process counts as failed. */
    void onPeerContact() {
        if (callPending && millisSince(callStartNanos) > callWaitMillis + OVERDUE_MILLIS) {
            outage.onFailed(callStartNanos, clock.getAsLong());
        }
        outage.onReached(clock.getAsLong());
    }

    /**
     * Records that a call failed.
     *
     * @param error the cause of the failure
     * @return the delay before the next call, in milliseconds
     */
    long onFailed(StoreError error) {
        callPending = false;
        if (!failing) {
            failing = true;
            LOG.warn("store-lost", Field.of("error", error));
        }
        if (outage.onFailed(callStartNanos, clock.getAsLong())) {
            LOG.info("store-outage", Field.of("informedMillis", staleMillis()));
        }
        long delayMillis = Math.max(MIN_BACKOFF_MILLIS, backoffMillis - millisSince(callStartNanos));
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * backoffMillis);
        return delayMillis;
    }

    /** Records that this process has all changes of the store up to now. */
    void onUpToDate() {
        upToDateNanos = clock.getAsLong();
    }

    /** Returns the time since this process last had all changes of the store, in milliseconds. */
    long staleMillis() {
        return millisSince(upToDateNanos);
    }

    /** Returns the grace period of a server whose entry is removed now, in milliseconds. */
    long gracePeriodMillis() {
        return outage.gracePeriodMillis(clock.getAsLong());
    }

    /**
     * Returns the time for which writers may still be unable to write, in milliseconds; zero if the store was reached lately
     * and no grace period is running.
     */
    long unwritableMillis() {
        long graceMillis = gracePeriodMillis();
        return staleMillis() < SILENT_MILLIS ? graceMillis : Math.max(graceMillis, SILENT_MILLIS);
    }

    private long millisSince(long nanos) {
        return (clock.getAsLong() - nanos) / Timestamp.NANOS_PER_MILLI;
    }
}
