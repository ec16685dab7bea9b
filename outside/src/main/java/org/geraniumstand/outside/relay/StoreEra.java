package org.geraniumstand.outside.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import org.geraniumstand.model.relay.StoreRevision;

/**
 * Tracks the era of the store, which increases when the store is restored from a backup.
 *
 * <p>Not thread-safe.
 */
public final class StoreEra {
    private final List<LongConsumer> listeners = new ArrayList<>();
    private long latest = StoreRevision.UNKNOWN_ERA;

    /** Creates an instance for a store whose era is unknown. */
    public StoreEra() {}

    /** Returns the highest era that was reported, or {@link StoreRevision#UNKNOWN_ERA} if none was. */
    public long latest() {
        return latest;
    }

    /**
     * Returns whether something that was read in an era no longer holds, because the store was restored since.
     *
     * @param era the era, or {@link StoreRevision#UNKNOWN_ERA}
     */
    public boolean isOutdated(long era) {
        return era != StoreRevision.UNKNOWN_ERA && era < latest;
    }

    /**
     * Records the era that an answer of the store or a peer reported.
     *
     * @param era the era; one that is not higher than the latest has no effect
     */
    public void onReported(long era) {
        if (era <= latest) {
            return;
        }
        boolean restored = latest != StoreRevision.UNKNOWN_ERA;
        latest = era;
        if (restored) {
            for (LongConsumer listener : List.copyOf(listeners)) {
                // A listener may have learned of a further restoration, of which all listeners know then.
                if (era == latest) {
                    listener.accept(era);
                }
            }
        }
    }

    /**
     * Adds a listener that is called when the store was restored since its last answer.
     *
     * @param listener receives the new era
     */
    public void onRestored(LongConsumer listener) {
        listeners.add(listener);
    }
}
