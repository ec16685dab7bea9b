package org.geraniumstand.decisions.relay;

import java.util.Optional;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.time.Moment;

/** Decides when a configuration that a peer has is requested for, as the store may not deliver it. */
@Decision(
        name = "plan-pull",
        summary =
                "A process asks a peer for a newer configuration that the store has not brought within a moment, and at"
                        + " once while it has none.")
public final class PlanPull {
    /** Milliseconds that the store has to bring a change first; its watches answer in tens. */
    private static final long STORE_GRACE_MILLIS = 300;

    /** Milliseconds until an ask counts as lost. */
    private static final long REQUEST_TIMEOUT_MILLIS = 600;

    private long ownVersion;
    private long newestVersion;
    private long newestSeenNanos;
    private long requestedNanos;
    private boolean requested;
    private ProcessId sourcePeer;

    /** Creates a process without a configuration. */
    public PlanPull() {}

    /** Returns the version in force here, or zero. */
    public long own() {
        return ownVersion;
    }

    /**
     * Takes in a version that came into force here.
     *
     * @param version the version
     */
    public void onOwn(long version) {
        ownVersion = Math.max(ownVersion, version);
        requested = false;
    }

    /**
     * Takes in a version that a peer has in force.
     *
     * @param peer the peer
     * @param version the version
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onNews(ProcessId peer, long version, long nowNanos) {
        if (version <= ownVersion || version < newestVersion) {
            return;
        }
        if (newestVersion <= ownVersion) {
            newestSeenNanos = nowNanos;
        }
        newestVersion = version;
        sourcePeer = peer;
    }

    /**
     * Returns the peer to ask now, if any, and counts as requested.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public Optional<ProcessId> ask(long nowNanos) {
        if (newestVersion <= ownVersion) {
            return Optional.empty();
        }
        boolean storePending = ownVersion > 0 && nowNanos - newestSeenNanos < STORE_GRACE_MILLIS * Moment.NANOS_PER_MILLI;
        boolean pending = requested && nowNanos - requestedNanos < REQUEST_TIMEOUT_MILLIS * Moment.NANOS_PER_MILLI;
        if (storePending || pending) {
            return Optional.empty();
        }
        requested = true;
        requestedNanos = nowNanos;
        return Optional.of(sourcePeer);
    }
}
