package org.geraniumstand.entry.relay;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.geraniumstand.decisions.relay.EntryChange;
import org.geraniumstand.decisions.relay.RestoredEntryPolicy;
import org.geraniumstand.entry.task.Timer;
import org.geraniumstand.model.relay.StoreEntry;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;

/**
 * Holds back outdated entries of a store that was restored from a backup, and retains orders of the operator that it lacks,
 * until either is written again or a time limit has passed; not thread-safe.
 */
final class RestoredEntries {
    private static final Log LOG = Log.of(RestoredEntries.class);

    /** Limit of the memory of removed servers; a backup is some seconds old. */
    private static final int MAX_REMOVED = 1_024;

    private final Timer timer;
    private final LongSupplier clock;
    private final LongSupplier outageMillis;
    private final Listener listener;
    private final RestoredEntryPolicy policy = new RestoredEntryPolicy();
    private final Map<String, EntryChange.Observed> heldBack = new TreeMap<>();
    private final Map<String, StoreEntry> missingOrders = new TreeMap<>();

    /** Last entries of removed servers, by key. */
    private final Map<String, StoreEntry.ServerEntry> removed = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, StoreEntry.ServerEntry> _eldest) {
            return size() > MAX_REMOVED;
        }
    };

    private boolean scheduled;

    /** Receives what was not written again in time. */
    interface Listener {
        /** Called with an entry that counts although it seemed outdated. */
        void onStillListed(String key, EntryChange.Observed entry);

        /** Called with the key of an order that is no longer in force. */
        void onStillMissing(String key);
    }

    /**
     * Creates an instance that knows of no restoration.
     *
     * @param timer the timer that schedules the end of the time limit
     * @param clock the clock, which returns the monotonic time in nanoseconds
     * @param outageMillis the supplier of the time for which writers may still be unable to write because of an outage of the
     *     store, in milliseconds
     * @param listener the listener for what was not written again in time
     */
    RestoredEntries(Timer timer, LongSupplier clock, LongSupplier outageMillis, Listener listener) {
        this.timer = timer;
        this.clock = clock;
        this.outageMillis = outageMillis;
        this.listener = listener;
    }

    /** Records that the store was restored. */
    void onRestored() {
        policy.onRestored(clock.getAsLong());
    }

    /** Records that all entries are read again; those that were held back are examined anew. */
    void onFullRead() {
        heldBack.clear();
    }

    /** Records the last entry of a server that was removed. */
    void onRemoved(String key, StoreEntry.ServerEntry last) {
        removed.remove(key);
        removed.put(key, last);
    }

    /** Records that a key was written since the store was restored, or is known not to be outdated. */
    void onWritten(String key) {
        onDeleted(key);
        removed.remove(key);
    }

    /** Records that a key was removed since the store was restored. */
    void onDeleted(String key) {
        heldBack.remove(key);
        missingOrders.remove(key);
    }

    /**
     * Holds back an entry that is older than the latest known one of its server.
     *
     * @param key the key of the entry
     * @param known the latest known entry, or null if there is none
     * @param read the entry that was read
     * @return whether the entry is held back
     */
    boolean holdBack(String key, EntryChange.Observed known, EntryChange.Observed read) {
        boolean outdated = known != null
                && known.entry() instanceof StoreEntry.ServerEntry before
                && read.entry() instanceof StoreEntry.ServerEntry next
                && policy.isOutdated(before, next, clock.getAsLong());
        return outdated && holdBack(key, read);
    }

    /**
     * Holds back an entry of a server that was removed before the store was restored.
     *
     * @param key the key of the entry
     * @param read the entry that was read with all others
     * @return whether the entry is held back
     */
    boolean holdBackRemoved(String key, EntryChange.Observed read) {
        StoreEntry.ServerEntry last = removed.get(key);
        boolean gone = last != null
                && read.entry() instanceof StoreEntry.ServerEntry next
                && policy.isGone(last, next, clock.getAsLong());
        return gone && holdBack(key, read);
    }

    private boolean holdBack(String key, EntryChange.Observed read) {
        if (heldBack.put(key, read) == null) {
            LOG.info("entry-outdated", Field.of("entry", key));
        }
        scheduleEnd();
        return true;
    }

    /**
     * Retains an order of the operator that was missing when all entries were read.
     *
     * @param key the key of the entry
     * @param last the last entry
     * @return whether the order is retained
     */
    boolean retain(String key, StoreEntry last) {
        boolean isOrder = last instanceof StoreEntry.DataCentreOut || last instanceof StoreEntry.MoveOrderEntry;
        if (!isOrder || policy.remainingMillis(clock.getAsLong()) == 0) {
            return false;
        }
        LOG.info("order-missing", Field.of("entry", key));
        missingOrders.put(key, last);
        scheduleEnd();
        return true;
    }

    /** Returns the retained orders. */
    List<StoreEntry> retained() {
        return List.copyOf(missingOrders.values());
    }

    private long remainingMillis() {
        return Math.max(policy.remainingMillis(clock.getAsLong()), outageMillis.getAsLong());
    }

    private void scheduleEnd() {
        if (!scheduled) {
            scheduled = true;
            timer.after(this::end, remainingMillis());
        }
    }

    private void end() {
        scheduled = false;
        if (remainingMillis() > 0) {
            // The store was restored once more or is away again.
            scheduleEnd();
            return;
        }
        Map<String, EntryChange.Observed> listed = new HashMap<>(heldBack);
        List<String> missing = List.copyOf(missingOrders.keySet());
        heldBack.clear();
        missingOrders.clear();
        listed.forEach((key, entry) -> {
            LOG.info("entry-listed-still", Field.of("entry", key));
            listener.onStillListed(key, entry);
        });
        missing.forEach(listener::onStillMissing);
    }
}
