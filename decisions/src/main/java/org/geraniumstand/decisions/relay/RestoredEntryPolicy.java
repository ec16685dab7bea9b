package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.StoreEntry;
import org.geraniumstand.model.time.Timestamp;

/** Decides which entries of a store that was restored from a backup are older than what is known. Not thread-safe. */
@Decision(
        name = "restored-entries",
        summary = "After a restoration of the store, an entry that is older than what is known of its server does not "
                + "count, and an order of the operator that is missing stays in force, until either is written again "
                + "or their writers have had time to do so.")
public final class RestoredEntryPolicy {
    /**
     * Milliseconds after a restoration within which servers and the operator have written again what the backup lacks,
     * and the entries of servers that no longer exist have expired.
     */
    private static final long REWRITE_MILLIS = 5_000;

    private boolean restored;
    private long untilNanos;

    /** Creates a policy that knows of no restoration. */
    public RestoredEntryPolicy() {}

    /**
     * Records that the store was restored.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onRestored(long nowNanos) {
        restored = true;
        untilNanos = nowNanos + REWRITE_MILLIS * Timestamp.NANOS_PER_MILLI;
    }

    /**
     * Returns the time until which the writers may still have to write again, in milliseconds from now; zero if there is
     * none.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public long remainingMillis(long nowNanos) {
        // Rounds up a remaining fraction of a millisecond.
        return restored
                ? Math.max(0, (untilNanos - nowNanos + Timestamp.NANOS_PER_MILLI - 1) / Timestamp.NANOS_PER_MILLI)
                : 0;
    }

    /**
     * Returns whether an entry was written before the latest known one of the same server.
     *
     * @param known the latest known entry
     * @param read the entry that was read
     * @param nowNanos the monotonic time in nanoseconds
     */
    public boolean isOutdated(StoreEntry.ServerEntry known, StoreEntry.ServerEntry read, long nowNanos) {
        if (remainingMillis(nowNanos) == 0) {
            return false;
        }
        RelayServer before = known.server();
        RelayServer next = read.server();
        if (before.startEpochMillis() != next.startEpochMillis()) {
            return startsEarlier(next, before);
        }
        boolean numbered = known.sequence() != StoreEntry.ServerEntry.NO_SEQUENCE
                && read.sequence() != StoreEntry.ServerEntry.NO_SEQUENCE;
        return numbered ? read.sequence() < known.sequence() : before.draining() && !next.draining();
    }

    /**
     * Returns whether an entry that was read with all others belongs to a run of a server that was known to be gone.
     *
     * @param gone the last entry of the server before it was removed
     * @param read the entry that was read
     * @param nowNanos the monotonic time in nanoseconds
     */
    public boolean isGone(StoreEntry.ServerEntry gone, StoreEntry.ServerEntry read, long nowNanos) {
        boolean sameRun = gone.server().startEpochMillis() == read.server().startEpochMillis();
        return remainingMillis(nowNanos) > 0 && (sameRun || startsEarlier(read.server(), gone.server()));
    }

    private static boolean startsEarlier(RelayServer server, RelayServer other) {
        return server.startEpochMillis() > 0 && server.startEpochMillis() < other.startEpochMillis();
    }
}
