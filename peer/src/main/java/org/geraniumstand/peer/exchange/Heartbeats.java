package org.geraniumstand.peer.exchange;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.decisions.membership.NeighbourChoice;
import org.geraniumstand.model.id.ProcessId;

/** Decides when a heartbeat is due to each peer and when a peer's view has differed for too long. */
final class Heartbeats {
    private static final long MESH_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long LARGE_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    private static final long DIFFERENCE_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long SYNC_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Map<ProcessId, Long> sent = new HashMap<>();
    private final Map<ProcessId, Long> differsSince = new HashMap<>();
    private final Map<ProcessId, Long> synced = new HashMap<>();

    boolean isDue(ProcessId peer, int members, long nowNanos) {
        long period = members <= NeighbourChoice.FULL_MESH_MEMBERS ? MESH_PERIOD_NANOS : LARGE_PERIOD_NANOS;
        Long last = sent.get(peer);
        return last == null || nowNanos - last >= period;
    }

    void onSent(ProcessId peer, long nowNanos) {
        sent.put(peer, nowNanos);
    }

    /** Returns whether the whole table must be sent because the views differ for long. */
    boolean differs(ProcessId peer, boolean equal, long nowNanos) {
        if (equal) {
            differsSince.remove(peer);
            return false;
        }
        long since = differsSince.computeIfAbsent(peer, _id -> nowNanos);
        Long last = synced.get(peer);
        boolean due = nowNanos - since >= DIFFERENCE_NANOS && (last == null || nowNanos - last >= SYNC_NANOS);
        if (due) {
            synced.put(peer, nowNanos);
        }
        return due;
    }

    void forget(ProcessId peer) {
        sent.remove(peer);
        differsSince.remove(peer);
        synced.remove(peer);
    }
}
