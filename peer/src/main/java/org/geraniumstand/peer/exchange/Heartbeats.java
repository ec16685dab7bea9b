package org.geraniumstand.peer.exchange;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.decisions.membership.NeighbourChoice;
import org.geraniumstand.model.id.ProcessId;

/** Schedules heartbeats to each peer and full synchronisations with peers whose member digests keep differing. */
final class Heartbeats {
    private static final long FULL_MESH_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long PARTIAL_MESH_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    private static final long SYNC_DELAY_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long SYNC_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Map<ProcessId, Long> lastSent = new HashMap<>();
    private final Map<ProcessId, Long> differsSince = new HashMap<>();
    private final Map<ProcessId, Long> lastSync = new HashMap<>();

    boolean isDue(ProcessId peer, int members, long nowNanos) {
        long period = members <= NeighbourChoice.FULL_MESH_MEMBERS ? FULL_MESH_PERIOD_NANOS : PARTIAL_MESH_PERIOD_NANOS;
        Long last = lastSent.get(peer);
        return last == null || nowNanos - last >= period;
    }

    void onSent(ProcessId peer, long nowNanos) {
        lastSent.put(peer, nowNanos);
    }

    /** Records a digest comparison; returns whether the digests differ for so long that the full table must be sent. */
    boolean needsSync(ProcessId peer, boolean sameDigest, long nowNanos) {
        if (sameDigest) {
            differsSince.remove(peer);
            return false;
        }
        long since = differsSince.computeIfAbsent(peer, _id -> nowNanos);
        Long last = lastSync.get(peer);
        boolean due = nowNanos - since >= SYNC_DELAY_NANOS && (last == null || nowNanos - last >= SYNC_INTERVAL_NANOS);
        if (due) {
            lastSync.put(peer, nowNanos);
        }
        return due;
    }

    void remove(ProcessId peer) {
        lastSent.remove(peer);
        differsSince.remove(peer);
        lastSync.remove(peer);
    }
}
