package org.geraniumstand.entry.relay;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.ObjLongConsumer;
import org.geraniumstand.entry.task.Timer;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.StoreEntry;
import org.geraniumstand.model.time.Timestamp;

/** Retains servers for a grace period if their entries may have expired because of a store outage; not thread-safe. */
final class MissingServers {
    private final Timer timer;
    private final LongSupplier clock;
    private final LongSupplier gracePeriodMillis;
    private final ObjLongConsumer<StoreEntry.Removed.Server> onExpired;
    private final Map<ServerId, Missing> missing = new HashMap<>();

    /** The last entry of a server and the time of its removal, on the monotonic clock in nanoseconds. */
    private record Missing(StoreEntry.ServerEntry entry, long sinceNanos) {}

    /**
     * Creates an instance that retains no server.
     *
     * @param timer the timer that schedules the end of grace periods
     * @param clock the clock, which returns the monotonic time in nanoseconds
     * @param gracePeriodMillis the supplier of the time for which a server whose entry is removed now is retained, in milliseconds
     * @param onExpired the callback for a server that is no longer retained, with the milliseconds for which it was
     */
    MissingServers(
            Timer timer,
            LongSupplier clock,
            LongSupplier gracePeriodMillis,
            ObjLongConsumer<StoreEntry.Removed.Server> onExpired) {
        this.timer = timer;
        this.clock = clock;
        this.gracePeriodMillis = gracePeriodMillis;
        this.onExpired = onExpired;
    }

    /**
     * Retains a server whose entry was removed, unless the server was draining or no entry can have expired in an outage.
     *
     * @param server the server whose entry was removed
     * @param entry the last entry of the server
     * @return whether the server is retained
     */
    boolean retain(StoreEntry.Removed.Server server, StoreEntry.ServerEntry entry) {
        long remainingMillis = gracePeriodMillis.getAsLong();
        if (remainingMillis <= 0 || entry.server().draining()) {
            return false;
        }
        Missing removed = new Missing(entry, clock.getAsLong());
        missing.put(server.server(), removed);
        timer.after(() -> expire(server, removed), remainingMillis);
        return true;
    }

    private void expire(StoreEntry.Removed.Server server, Missing removed) {
        long remainingMillis = gracePeriodMillis.getAsLong();
        if (remainingMillis > 0) {
            // In another outage since then the server could not write its entry again.
            timer.after(() -> expire(server, removed), remainingMillis);
        } else if (missing.remove(server.server(), removed)) {
            onExpired.accept(server, (clock.getAsLong() - removed.sinceNanos()) / Timestamp.NANOS_PER_MILLI);
        }
    }

    /** Ends the retention of a server whose entry was written again. */
    void onListed(ServerId server) {
        missing.remove(server);
    }

    /** Returns whether a server is retained. */
    boolean isRetained(ServerId server) {
        return missing.containsKey(server);
    }

    /** Returns the last entries of the retained servers. */
    Collection<StoreEntry.ServerEntry> entries() {
        return missing.values().stream().map(Missing::entry).toList();
    }
}
