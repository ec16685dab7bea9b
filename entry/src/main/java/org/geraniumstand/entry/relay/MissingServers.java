package org.geraniumstand.entry.relay;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.ObjLongConsumer;
import org.geraniumstand.entry.task.Timer;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.StoreFact;
import org.geraniumstand.model.time.Moment;

/** Keeps servers for a while whose entries may have lapsed in an outage of the store; belongs to one thread. */
final class MissingServers {
    private final Timer timer;
    private final LongSupplier clock;
    private final LongSupplier holdMillis;
    private final ObjLongConsumer<StoreFact.Removed.Server> onGivenUp;
    private final Map<ServerId, Missing> missing = new HashMap<>();

    /** The last entry of a server that vanished, and when it did, on the monotonic clock in nanoseconds. */
    private record Missing(StoreFact.Listed entry, long sinceNanos) {}

    /**
     * Creates a keeper of none.
     *
     * @param timer waits
     * @param clock the monotonic time in nanoseconds
     * @param holdMillis tells for how long a server that vanishes now is kept, in milliseconds
     * @param onGivenUp told which server is kept no more, and for how many milliseconds it was
     */
    MissingServers(
            Timer timer,
            LongSupplier clock,
            LongSupplier holdMillis,
            ObjLongConsumer<StoreFact.Removed.Server> onGivenUp) {
        this.timer = timer;
        this.clock = clock;
        this.holdMillis = holdMillis;
        this.onGivenUp = onGivenUp;
    }

    /**
     * Keeps a server whose entry vanished, unless it said that it leaves or no entry can have lapsed.
     *
     * @param server the server
     * @param entry what its entry said
     * @return whether it is kept
     */
    boolean keep(StoreFact.Removed.Server server, StoreFact.Listed entry) {
        long leftMillis = holdMillis.getAsLong();
        if (leftMillis <= 0 || entry.server().leaving()) {
            return false;
        }
        Missing vanished = new Missing(entry, clock.getAsLong());
        missing.put(server.server(), vanished);
        timer.after(() -> giveUp(server, vanished), leftMillis);
        return true;
    }

    private void giveUp(StoreFact.Removed.Server server, Missing vanished) {
        long leftMillis = holdMillis.getAsLong();
        if (leftMillis > 0) {
            // Another outage came, in which its entry could not be written again.
            timer.after(() -> giveUp(server, vanished), leftMillis);
        } else if (missing.remove(server.server(), vanished)) {
            onGivenUp.accept(server, (clock.getAsLong() - vanished.sinceNanos()) / Moment.NANOS_PER_MILLI);
        }
    }

    /** Takes in that a server's entry is there again. */
    void onBack(ServerId server) {
        missing.remove(server);
    }

    /** Returns what the entries of the servers that are kept said last. */
    Collection<StoreFact.Listed> entries() {
        return missing.values().stream().map(Missing::entry).toList();
    }
}
