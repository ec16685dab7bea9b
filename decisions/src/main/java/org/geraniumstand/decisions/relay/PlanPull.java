package org.geraniumstand.decisions.relay;

import java.util.Optional;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.time.Moment;

/** Decides when a configuration that a peer has is asked for, as the store may not deliver it. */
@Decision(
        name = "plan-pull",
        summary =
                "A process asks a peer for a newer configuration that the store has not brought within a moment, and at"
                        + " once while it has none.")
public final class PlanPull {
    /** Milliseconds that the store has to bring a change first; its watches answer in tens. */
    private static final long PATIENCE_MILLIS = 300;

    /** Milliseconds until an ask counts as lost. */
    private static final long ANSWER_MILLIS = 600;

    private long own;
    private long newest;
    private long newestNanos;
    private long askedNanos;
    private boolean asked;
    private ProcessId source;

    /** Creates a process without a configuration. */
    public PlanPull() {}

    /** Returns the version in force here, or zero. */
    public long own() {
        return own;
    }

    /**
     * Takes in a version that came into force here.
     *
     * @param version the version
     */
    public void onOwn(long version) {
        own = Math.max(own, version);
        asked = false;
    }

    /**
     * Takes in a version that a peer has in force.
     *
     * @param peer the peer
     * @param version the version
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onNews(ProcessId peer, long version, long nowNanos) {
        if (version <= own || version < newest) {
            return;
        }
        if (newest <= own) {
            newestNanos = nowNanos;
        }
        newest = version;
        source = peer;
    }

    /**
     * Returns the peer to ask now, if any, and counts as asked.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public Optional<ProcessId> ask(long nowNanos) {
        if (newest <= own) {
            return Optional.empty();
        }
        boolean waits = own > 0 && nowNanos - newestNanos < PATIENCE_MILLIS * Moment.NANOS_PER_MILLI;
        boolean pending = asked && nowNanos - askedNanos < ANSWER_MILLIS * Moment.NANOS_PER_MILLI;
        if (waits || pending) {
            return Optional.empty();
        }
        asked = true;
        askedNanos = nowNanos;
        return Optional.of(source);
    }
}
