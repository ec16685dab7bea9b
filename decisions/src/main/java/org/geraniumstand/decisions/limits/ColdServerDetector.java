package org.geraniumstand.decisions.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.time.Timestamp;

/**
 * Detects from latency that a warm backend server has become cold again.
 *
 * <p>The latency of a server is compared with that server's own earlier latency, so that a permanently slow server is
 * not suspected. A long prompt delays the tokens of all requests at a server for about a second, so the server must be
 * slow without interruption for longer than that.
 */
@Decision(
        name = "cold-again",
        summary = "A server is treated as cold again when its latency stays at several times its own earlier value"
                + " without interruption.")
public final class ColdServerDetector {
    private static final double SLOW_FACTOR = 3;
    private static final int MIN_SAMPLES = 4;
    private static final long MIN_STREAK_MILLIS = 1_200;

    private final Map<ServerId, Streak> slowStreaks = new HashMap<>();

    private record Streak(Timestamp since, int samples) {}

    /**
     * Records the latency of a token, or the time waited so far for one that is missing.
     *
     * @param server the server
     * @param ratio measured time divided by the time expected of the server's service and host class
     * @param earlierRatio average of the server's earlier ratios
     * @param now the current time
     * @return true if the server is to be treated as cold from now on
     */
    public boolean onLatencyRatio(ServerId server, double ratio, double earlierRatio, Timestamp now) {
        if (ratio < SLOW_FACTOR * Math.max(1, earlierRatio)) {
            slowStreaks.remove(server);
            return false;
        }
        Streak before = slowStreaks.getOrDefault(server, new Streak(now, 0));
        Streak streak = new Streak(before.since(), before.samples() + 1);
        slowStreaks.put(server, streak);
        if (streak.samples() < MIN_SAMPLES || now.millisSince(streak.since()) < MIN_STREAK_MILLIS) {
            return false;
        }
        slowStreaks.remove(server);
        return true;
    }

    /**
     * Removes the state of servers that are no longer listed.
     *
     * @param listed servers that are listed
     */
    public void retain(Set<ServerId> listed) {
        slowStreaks.keySet().retainAll(listed);
    }
}
