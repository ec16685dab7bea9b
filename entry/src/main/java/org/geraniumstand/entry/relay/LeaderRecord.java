package org.geraniumstand.entry.relay;

import org.geraniumstand.model.relay.StoreRevision;

/**
 * Names the leader and the era of the lease that it holds.
 *
 * <p>A restoration of the store loses leases, so that no lease removes a record of an earlier era.
 *
 * @param holder name of the leader
 * @param era era of the store in which the lease was opened, or {@link StoreRevision#UNKNOWN_ERA}
 */
record LeaderRecord(String holder, long era) {
    private static final char SEPARATOR = '@';

    /** Returns the text of the record as it is stored. */
    String write() {
        return era == StoreRevision.UNKNOWN_ERA ? holder : holder + SEPARATOR + era;
    }

    /** Parses a record; the record of a build that states no era names only the holder. */
    static LeaderRecord read(String text) {
        int separator = text.lastIndexOf(SEPARATOR);
        try {
            return separator < 0
                    ? new LeaderRecord(text, StoreRevision.UNKNOWN_ERA)
                    : new LeaderRecord(text.substring(0, separator), Long.parseLong(text.substring(separator + 1)));
        } catch (NumberFormatException _e) {
            return new LeaderRecord(text, StoreRevision.UNKNOWN_ERA);
        }
    }
}
