package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.StoreFact;
import org.geraniumstand.model.time.Moment;

/** Decides whether an entry that was written again says anything new. */
@Decision(
        name = "entry-news",
        summary =
                "An entry that was written again is news only if it says more than that time has passed, as a starting server"
                        + " counts down with each heartbeat.")
public final class EntryNews {
    /** Milliseconds by which a server may be warm earlier than it said before: the way of an entry to a process. */
    private static final long MAX_EARLIER_MILLIS = 500;

    /** Milliseconds by which it may be warm later; a server must not be taken for warm too early. */
    private static final long MAX_LATER_MILLIS = 100;

    private EntryNews() {}

    /**
     * What an entry said, and when it was heard.
     *
     * @param fact what it said
     * @param atNanos when, on the monotonic clock in nanoseconds
     */
    public record Heard(StoreFact fact, long atNanos) {}

    /**
     * Returns whether an entry says anything new.
     *
     * @param before what the same entry said before, or null if it was not there
     * @param next what it says now
     */
    public static boolean test(Heard before, Heard next) {
        if (before == null || before.fact().getClass() != next.fact().getClass()) {
            return true;
        }
        if (before.fact() instanceof StoreFact.Listed old && next.fact() instanceof StoreFact.Listed now) {
            boolean same = old.server().withColdMillis(0).equals(now.server().withColdMillis(0));
            return !same || !warmAtSameTime(old.server(), before.atNanos(), now.server(), next.atNanos());
        }
        return !before.fact().equals(next.fact());
    }

    private static boolean warmAtSameTime(RelayServer old, long oldNanos, RelayServer now, long nowNanos) {
        long passedMillis = (nowNanos - oldNanos) / Moment.NANOS_PER_MILLI;
        long laterMillis = now.coldMillis() - Math.max(0, old.coldMillis() - passedMillis);
        return laterMillis <= MAX_LATER_MILLIS && laterMillis >= -MAX_EARLIER_MILLIS;
    }
}
