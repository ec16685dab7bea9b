package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.StoreEntry;
import org.geraniumstand.model.time.Timestamp;

/** Detects whether a rewritten store entry contains a change. */
@Decision(
        name = "entry-news",
        summary = "A rewritten entry counts as changed only if it differs in more than the elapsed "
                + "time, because a starting server counts down its warm-up with each heartbeat.")
public final class EntryChange {
    /**
     * Milliseconds by which the reported warm-up may end earlier than before without counting as a change; this covers
     * the delay of an entry on its way to a process.
     */
    private static final long MAX_EARLIER_MILLIS = 500;

    /**
     * Milliseconds by which the reported warm-up may end later without counting as a change; a server must not be
     * treated as warm too early.
     */
    private static final long MAX_LATER_MILLIS = 100;

    private EntryChange() {}

    /**
     * Holds the content of an entry and the time at which it was read.
     *
     * @param entry the parsed content of the entry
     * @param atNanos when the entry was read, on the monotonic clock in nanoseconds
     */
    public record Observed(StoreEntry entry, long atNanos) {}

    /**
     * Returns whether an entry has changed.
     *
     * @param before the previous content of the entry, or null if there was none
     * @param next the current content of the entry
     */
    public static boolean isChange(Observed before, Observed next) {
        if (before == null || before.entry().getClass() != next.entry().getClass()) {
            return true;
        }
        if (before.entry() instanceof StoreEntry.ServerEntry old
                && next.entry() instanceof StoreEntry.ServerEntry now) {
            boolean same =
                    old.server().withColdRemainingMillis(0).equals(now.server().withColdRemainingMillis(0));
            return !same || !warmAtSameTime(old.server(), before.atNanos(), now.server(), next.atNanos());
        }
        return !before.entry().equals(next.entry());
    }

    private static boolean warmAtSameTime(RelayServer old, long oldNanos, RelayServer now, long nowNanos) {
        long passedMillis = (nowNanos - oldNanos) / Timestamp.NANOS_PER_MILLI;
        long laterMillis = now.coldRemainingMillis() - Math.max(0, old.coldRemainingMillis() - passedMillis);
        return laterMillis <= MAX_LATER_MILLIS && laterMillis >= -MAX_EARLIER_MILLIS;
    }
}
