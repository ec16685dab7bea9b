package org.geraniumstand.decisions.relay;

import java.util.Optional;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.time.Timestamp;

/** Decides when to request a newer configuration from a peer in case the store does not deliver it. */
@Decision(
        name = "plan-pull",
        summary = "A process requests a newer configuration from a peer if the store does "
                + "not deliver it in time, and immediately while it has no configuration.")
public final class ConfigurationPullTiming {
    /** Milliseconds for which the store may deliver a change first; its watches respond within tens of milliseconds. */
    private static final long STORE_GRACE_MILLIS = 300;

    /** Milliseconds after which a request to a peer counts as lost. */
    private static final long REQUEST_TIMEOUT_MILLIS = 600;

    private long ownVersion;
    private long newestVersion;
    private long newestSeenNanos;
    private long requestedNanos;
    private boolean requested;
    private ProcessId sourcePeer;

    /** Creates an instance for a process without a configuration. */
    public ConfigurationPullTiming() {}

    /** Returns the configuration version in force in this process, or zero. */
    public long ownVersion() {
        return ownVersion;
    }

    /**
     * Records the configuration version that came into force in this process.
     *
     * @param version the new version
     */
    public void onOwnVersion(long version) {
        ownVersion = Math.max(ownVersion, version);
        requested = false;
    }

    /**
     * Records the configuration version that a peer has in force.
     *
     * @param peer the peer that reports it
     * @param version the version that the peer has in force
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onPeerVersion(ProcessId peer, long version, long nowNanos) {
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
     * Returns the peer to request the configuration from now, if any, and records the request as sent.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public Optional<ProcessId> peerToRequest(long nowNanos) {
        if (newestVersion <= ownVersion) {
            return Optional.empty();
        }
        boolean storePending =
                ownVersion > 0 && nowNanos - newestSeenNanos < STORE_GRACE_MILLIS * Timestamp.NANOS_PER_MILLI;
        boolean pending = requested && nowNanos - requestedNanos < REQUEST_TIMEOUT_MILLIS * Timestamp.NANOS_PER_MILLI;
        if (storePending || pending) {
            return Optional.empty();
        }
        requested = true;
        requestedNanos = nowNanos;
        return Optional.of(sourcePeer);
    }
}
