package org.geraniumstand.decisions.membership;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.decisions.Decision;

/** Decides whether the load balancer may send callers to this process. */
@Decision(
        name = "readiness",
        summary = "A process is ready while it has a configuration that it supports and is not isolated from the"
                + " store and all peers.")
public final class ReadinessRule {
    /**
     * Time without contact to the store and to peers after which a process that has seen peers counts as isolated, in
     * nanoseconds.
     */
    public static final long ISOLATION_NANOS = TimeUnit.SECONDS.toNanos(4);

    private ReadinessRule() {}

    /**
     * Returns why the process is not ready, or empty if it is ready.
     *
     * @param state the state of the process
     * @param nowNanos the current reading of the monotonic clock in nanoseconds
     */
    public static Optional<String> notReadyReason(Facts state, long nowNanos) {
        if (state.blockedLevel() > state.ownLevel()) {
            return Optional.of("the configuration requires protocol level " + state.blockedLevel()
                    + ", this process supports level " + state.ownLevel());
        }
        if (!state.configured()) {
            return Optional.of("no configuration has been received yet");
        }
        boolean isolated = state.peersSeen() && nowNanos - state.lastContactNanos() > ISOLATION_NANOS;
        return isolated ? Optional.of("neither the store nor any peer answers") : Optional.empty();
    }

    /**
     * Holds the state that readiness depends on.
     *
     * @param configured whether a configuration is in force
     * @param peersSeen whether this process has ever seen another process
     * @param lastContactNanos when the store or a peer last answered, on the monotonic clock in nanoseconds
     * @param ownLevel protocol level of this process
     * @param blockedLevel protocol level of a newer document that this process does not support, or zero
     */
    public record Facts(boolean configured, boolean peersSeen, long lastContactNanos, int ownLevel, int blockedLevel) {}
}
