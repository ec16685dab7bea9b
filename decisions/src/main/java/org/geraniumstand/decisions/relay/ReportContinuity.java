package org.geraniumstand.decisions.relay;

import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.relay.StoreRevision;
import org.geraniumstand.model.time.Timestamp;

/**
 * Decides which windows may be reported after a restoration of the store, which may have lost the records of reports.
 *
 * <p>A marker in the store names the last era for which this has been settled, and the first window that may be reported.
 * Not thread-safe.
 */
@Decision(
        name = "report-continuity",
        summary =
                "After a restoration of the store, windows that may have been reported before are not reported, unless "
                        + "the process that was the leader throughout has written the records again.")
public final class ReportContinuity {
    /** Time after which all processes know of a new era and have written their counts again, in milliseconds. */
    private static final long SETTLE_MILLIS = 1_500;

    /** Time for which a new leader waits for the process that led in the previous era, in milliseconds. */
    private static final long WITNESS_MILLIS = 3_000;

    /** Time for which a new leader reports nothing, in milliseconds; its predecessor may testify for as much longer. */
    private static final long TAKEOVER_MILLIS = 1_500;

    /** Maximum difference between the clocks of two processes, in milliseconds. */
    private static final long CLOCK_ERROR_MILLIS = 100;

    /** Maximum number of records in a renewal; the store accepts 32 entries in a write, two for each record. */
    private static final int MAX_RECORDS = 14;

    private final long windowMillis;
    private final long sumAfterMillis;
    private final long leaseReserveMillis;
    private final TreeMap<Long, String> records = new TreeMap<>();
    private final TreeSet<Long> unrecorded = new TreeSet<>();
    private long era = StoreRevision.UNKNOWN_ERA;
    private Timestamp eraStart = new Timestamp(0, 0);
    private Optional<Marker> marker = Optional.empty();
    private Optional<Leadership> leadership = Optional.empty();
    private Optional<Renewal> testimony = Optional.empty();
    private long oldestWindow;

    /**
     * States which windows may be reported.
     *
     * @param era the last era for which this was settled
     * @param firstWindow number of the first window that may be reported in this era
     */
    public record Marker(long era, long firstWindow) {
        /** Precedes all markers; applies where the store has none. */
        public static final Marker NONE = new Marker(StoreRevision.UNKNOWN_ERA, 0);
    }

    /**
     * Describes a write that settles an era.
     *
     * @param marker the new marker
     * @param records the records of reports to write again, by window
     */
    public record Renewal(Marker marker, NavigableMap<Long, String> records) {}

    /** An uninterrupted leadership of this process in one era. */
    private record Leadership(long token, Timestamp start, Timestamp latest) {
        Leadership through(Timestamp now) {
            return new Leadership(token, start, now);
        }
    }

    /**
     * Creates an instance that knows of no era.
     *
     * @param windowMillis length of a window in milliseconds
     * @param sumAfterMillis shortest time between the end of a window and its report, in milliseconds
     * @param leaseReserveMillis shortest time for which no other process can become leader after this one was last
     *     allowed to act as leader, in milliseconds
     */
    public ReportContinuity(long windowMillis, long sumAfterMillis, long leaseReserveMillis) {
        this.windowMillis = windowMillis;
        this.sumAfterMillis = sumAfterMillis;
        this.leaseReserveMillis = leaseReserveMillis;
    }

    /**
     * Records the era of the store.
     *
     * @param latest the latest era that is known, or {@link StoreRevision#UNKNOWN_ERA}
     * @param now the current time
     * @return whether the store was restored since the era that was known before
     */
    public boolean onEra(long latest, Timestamp now) {
        if (latest <= era) {
            return false;
        }
        boolean restored = era != StoreRevision.UNKNOWN_ERA;
        testimony =
                restored && latest == era + 1 && isOnlyLeader(now) ? Optional.of(testify(latest)) : Optional.empty();
        era = latest;
        eraStart = now;
        marker = Optional.empty();
        leadership = Optional.empty();
        records.clear();
        unrecorded.clear();
        return restored;
    }

    /** Returns whether no other process can have reported a window in the current era since this one became leader. */
    private boolean isOnlyLeader(Timestamp now) {
        return marker.isPresent()
                && leadership
                        .map(held -> now.millisSince(held.latest()) < leaseReserveMillis + TAKEOVER_MILLIS)
                        .orElse(false);
    }

    private Renewal testify(long nextEra) {
        long firstWindow = marker.orElseThrow().firstWindow();
        long firstUnreported = firstOpenWindow(leadership.orElseThrow().start());
        // Another leader may have reported a window that was due before this process led.
        for (long window = Math.max(firstWindow, oldestWindow); window < firstUnreported; window++) {
            if (!records.containsKey(window) && !unrecorded.contains(window)) {
                firstWindow = window + 1;
            }
        }
        TreeMap<Long, String> kept = new TreeMap<>(records.tailMap(firstWindow));
        while (kept.size() > MAX_RECORDS) {
            firstWindow = kept.pollFirstEntry().getKey() + 1;
        }
        return new Renewal(new Marker(nextEra, firstWindow), kept);
    }

    /** Returns the first window that no process can have reported at a time. */
    private long firstOpenWindow(Timestamp time) {
        return Math.floorDiv(time.epochMillis() + CLOCK_ERROR_MILLIS - sumAfterMillis, windowMillis);
    }

    /**
     * Records that this process may act as leader.
     *
     * @param token the fencing token of the leadership, which is acquired in the latest era
     * @param now the current time
     */
    public void onLeading(long token, Timestamp now) {
        if (leadership.isEmpty() || leadership.get().token() != token) {
            leadership = Optional.of(new Leadership(token, now, now));
            unrecorded.clear();
        } else {
            leadership = Optional.of(leadership.get().through(now));
        }
    }

    /** Records that this process was informed that it is no longer the leader. */
    public void onLeadershipLost() {
        leadership = Optional.empty();
    }

    /**
     * Records that the store has no record of a window while this process is the leader.
     *
     * @param window number of the window
     */
    public void onUnrecorded(long window) {
        unrecorded.add(window);
    }

    /**
     * Records the record of a window in the store.
     *
     * @param window number of the window
     * @param record the record exactly as stored
     */
    public void onRecord(long window, String record) {
        records.put(window, record);
    }

    /** Returns whether this process waits for a marker of the latest era. */
    public boolean awaitsMarker() {
        return era != StoreRevision.UNKNOWN_ERA
                && marker.isEmpty()
                && (leadership.isPresent() || testimony.isPresent());
    }

    /**
     * Records the marker in the store.
     *
     * @param stored the marker, {@link Marker#NONE} if the store has none
     * @return whether it is of the latest era
     */
    public boolean onMarker(Marker stored) {
        if (stored.era() < era) {
            return false;
        }
        marker = Optional.of(stored);
        testimony = Optional.empty();
        return true;
    }

    /**
     * Returns the write that settles the latest era, or empty if this process does not settle it or not yet.
     *
     * @param stored the marker in the store, which is of an earlier era
     * @param now the current time
     */
    public Optional<Renewal> renewal(Marker stored, Timestamp now) {
        if (testimony.isPresent()) {
            return testimony;
        }
        if (leadership.isEmpty() || now.millisSince(eraStart) < WITNESS_MILLIS) {
            return Optional.empty();
        }
        long firstWindow = Math.max(stored.firstWindow(), firstOpenWindow(eraStart));
        return Optional.of(new Renewal(new Marker(era, firstWindow), new TreeMap<>()));
    }

    /**
     * Returns the first window that may be reported, or empty if none may be reported now.
     *
     * @param now the current time
     */
    public Optional<Long> firstWindow(Timestamp now) {
        if (era == StoreRevision.UNKNOWN_ERA) {
            return Optional.of(0L);
        }
        boolean settled = now.millisSince(eraStart) >= SETTLE_MILLIS
                && leadership
                        .map(held -> now.millisSince(held.start()) >= TAKEOVER_MILLIS)
                        .orElse(false);
        return settled ? marker.map(Marker::firstWindow) : Optional.empty();
    }

    /**
     * Discards windows whose reports are no longer due.
     *
     * @param before the first window to retain
     */
    public void discardBefore(long before) {
        oldestWindow = before;
        records.headMap(before).clear();
        unrecorded.headSet(before).clear();
    }
}
