package org.geraniumstand.http.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.geraniumstand.http.caller.CallerPace.Stalled;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;
import org.xnio.XnioIoThread;

/**
 * Closes callers that take nothing of the answers that wait for them. One sweep checks all connections to which not all could be
 * written, and none runs while there is no such connection.
 */
final class StalledCallers {
    private static final Log LOG = Log.of(StalledCallers.class);

    /** Interval of the sweeps, in milliseconds; short compared with the times that callers have. */
    private static final long SWEEP_MILLIS = 500;

    /** Maximum number of callers closed in one sweep that have a line of their own in the log. */
    private static final int MAX_LINES = 8;

    private final XnioIoThread thread;
    private final List<MemoryAccount> accounts;
    private final Set<GatedConnection> stalled = ConcurrentHashMap.newKeySet();
    private final AtomicBoolean scheduled = new AtomicBoolean();
    private long refusals;

    /**
     * Creates a set without callers.
     *
     * @param thread the I/O thread on which callers are checked
     * @param accounts the memory that callers hold
     */
    StalledCallers(XnioIoThread thread, List<MemoryAccount> accounts) {
        this.thread = thread;
        this.accounts = List.copyOf(accounts);
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
        List<Stalled<GatedConnection>> callers = new ArrayList<>();
        for (GatedConnection connection : stalled) {
            long sinceNanos = connection.stalledSinceNanos();
            if (sinceNanos == GatedOutput.NOTHING_WAITS) {
                forget(connection);
            } else {
                long millis = (now - sinceNanos) / Timestamp.NANOS_PER_MILLI;
                callers.add(new Stalled<>(connection, millis, connection.waitingCalls()));
            }
        }
        long refusedSoFar = accounts.stream().mapToLong(MemoryAccount::refusals).sum();
        List<Stalled<GatedConnection>> closed = CallerPace.toClose(callers, refusedSoFar > refusals);
        refusals = refusedSoFar;
        closed.forEach(caller -> caller.caller().reset());
        log(closed);
        callers.stream()
                .filter(caller -> caller.millis() >= SWEEP_MILLIS)
                .forEach(caller -> caller.caller().tryToWrite());
    }

    // The caller may have stalled again meanwhile, which was not recorded, as it was in the set.
    private void forget(GatedConnection connection) {
        stalled.remove(connection);
        if (connection.stalledSinceNanos() != GatedOutput.NOTHING_WAITS) {
            stalled.add(connection);
        }
    }

    private static void log(List<Stalled<GatedConnection>> closed) {
        closed.stream()
                .limit(MAX_LINES)
                .forEach(caller -> LOG.info(
                        "caller-closed",
                        Field.of("reason", "unread"),
                        Field.of("peer", caller.caller().connection().getPeerAddress()),
                        Field.of("stalledMillis", caller.millis()),
                        Field.of("waiting", caller.waiting())));
        if (closed.size() > MAX_LINES) {
            LOG.info("caller-closed", Field.of("reason", "unread"), Field.of("others", closed.size() - MAX_LINES));
        }
    }
}
