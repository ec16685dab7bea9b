package org.geraniumstand.decisions.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.time.Moment;

/**
 * Tells from latency that a warm backend server has turned cold again.
 *
 * <p>A server is compared with its own past, so that one that was always slow is not suspected. A long prompt holds up
 * everybody's tokens for a second or so, so the server must be slow without a break for longer than that.
 */
@Decision(
        name = "cold-again",
        summary = "A server whose answers take several times as long as its own past, for a while without a break,"
                + " counts as cold again.")
public final class ColdSuspicion {
    private static final double SLOW_FACTOR = 3;
    private static final int LEAST_SAMPLES = 4;
    private static final long LASTS_MILLIS = 1_200;

    private final Map<ServerId, Streak> slow = new HashMap<>();

    private record Streak(Moment since, int samples) {}

    /**
     * Takes in an answer, or the time for which one has been missing.
     *
     * @param server the server
     * @param ratio time seen against time expected of the server's class
     * @param past the same ratio as the server had it before
     * @param now the time
     * @return whether the server counts as cold from now on
     */
    public boolean onRatio(ServerId server, double ratio, double past, Moment now) {
        if (ratio < SLOW_FACTOR * Math.max(1, past)) {
            slow.remove(server);
            return false;
        }
        Streak before = slow.getOrDefault(server, new Streak(now, 0));
        Streak streak = new Streak(before.since(), before.samples() + 1);
        slow.put(server, streak);
        if (streak.samples() < LEAST_SAMPLES || now.millisSince(streak.since()) < LASTS_MILLIS) {
            return false;
        }
        slow.remove(server);
        return true;
    }

    /**
     * Forgets servers that are gone.
     *
     * @param listed servers that are there
     */
    public void retain(Set<ServerId> listed) {
        slow.keySet().retainAll(listed);
    }
}
