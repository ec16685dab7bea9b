package org.geraniumstand.http.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.geraniumstand.http.caller.CallerPace.Stalled;
import org.geraniumstand.model.time.Timestamp;
import org.xnio.XnioIoThread;

/**
 * Closes callers that take nothing of the answers that wait for them. One sweep checks all connections to which not all could be
 * written, and none runs while there is no such connection.
 */
final class StalledCallers {
    /** Interval of the sweeps, in milliseconds; short compared with the times that callers have. */
    private static final long SWEEP_MILLIS = 500;

    private final XnioIoThread thread;
    private final MemoryAccount answers;
    private final Set<GatedConnection> stalled = ConcurrentHashMap.newKeySet();
    private final AtomicBoolean scheduled = new AtomicBoolean();
    private long refusals;

    /**
     * Creates a set without callers.
     *
     * @param thread the I/O thread on which callers are checked
     * @param answers the memory that answers hold
     */
    StalledCallers(XnioIoThread thread, MemoryAccount answers) {
        this.thread = thread;
        this.answers = answers;
    }

    /** Records that not all could be written to a caller; may be called on any thread. */
    void onStalled(GatedConnection connection) {
        if (stalled.add(connection)) {
            schedule();
        }
    }

    /** Records that a connection has ended; may be called on any thread. */
    void onClosed(GatedConnection connection) {
        stalled.remove(connection);
    }

    private void schedule() {
        if (scheduled.compareAndSet(false, true)) {
            thread.executeAfter(this::sweep, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void sweep() {
        scheduled.set(false);
        try {
            check();
        } finally {
            if (!stalled.isEmpty()) {
                schedule();
            }
        }
    }

    private void check() {
        long now = System.nanoTime();
        List<Stalled<Seen>> callers = new ArrayList<>();
        stalled.removeIf(connection -> !connection.connection().isOpen());
        for (GatedConnection connection : stalled) {
            long sinceNanos = connection.stalledSinceNanos();
            if (sinceNanos == GatedOutput.NOTHING_WAITS) {
                forget(connection);
            } else {
                long millis = (now - sinceNanos) / Timestamp.NANOS_PER_MILLI;
                long gapMillis = connection.longestGapNanos() / Timestamp.NANOS_PER_MILLI;
                callers.add(
                        new Stalled<>(new Seen(connection, sinceNanos), millis, connection.waitingCalls(), gapMillis));
            }
        }
        long refusedSoFar = answers.refusals();
        List<Stalled<Seen>> closed = CallerPace.toClose(callers, refusedSoFar > refusals);
        refusals = refusedSoFar;
        closed.forEach(caller ->
                caller.caller().connection().resetIfStalledSince(caller.caller().sinceNanos()));
        callers.stream()
                .filter(caller -> caller.millis() >= SWEEP_MILLIS)
                .forEach(caller -> caller.caller().connection().tryToWrite());
    }

    // The caller may have stalled again meanwhile, which was not recorded, as it was in the set.
    private void forget(GatedConnection connection) {
        stalled.remove(connection);
        if (connection.stalledSinceNanos() != GatedOutput.NOTHING_WAITS) {
            stalled.add(connection);
        }
    }

    /** A caller that had taken nothing since a time when it was last looked at. */
    private record Seen(GatedConnection connection, long sinceNanos) {}
}
