package org.geraniumstand.decisions.membership;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.decisions.Decision;

/** Decides whether the balancer may send callers to this process. */
@Decision(
        name = "readiness",
        summary = "A process is ready while it has a configuration that it can trust to be the one in force.")
public final class ReadinessRule {
    /** Time without store and peers after which a process that knew others is cut off, in nanoseconds. */
    public static final long CUT_OFF_NANOS = TimeUnit.SECONDS.toNanos(4);

    private ReadinessRule() {}

    /**
     * Returns why the process is not ready, or nothing if it is.
     *
     * @param facts what it knows
     * @param nowNanos the monotonic time in nanoseconds
     */
    public static Optional<String> refusal(Facts facts, long nowNanos) {
        if (facts.blockedLevel() > facts.ownLevel()) {
            return Optional.of("the configuration needs protocol level " + facts.blockedLevel()
                    + ", this process speaks level " + facts.ownLevel());
        }
        if (!facts.configured()) {
            return Optional.of("no configuration was received yet");
        }
        boolean cutOff = facts.othersKnown() && nowNanos - facts.lastContactNanos() > CUT_OFF_NANOS;
        return cutOff ? Optional.of("neither the store nor any peer answers") : Optional.empty();
    }

    /**
     * What readiness depends on.
     *
     * @param configured whether a configuration is in force
     * @param othersKnown whether other processes were ever known
     * @param lastContactNanos when the store or a peer was last heard, on the monotonic clock in nanoseconds
     * @param ownLevel protocol level of this process
     * @param blockedLevel level that the newest document seen needs, or zero
     */
    public record Facts(
            boolean configured, boolean othersKnown, long lastContactNanos, int ownLevel, int blockedLevel) {}
}
