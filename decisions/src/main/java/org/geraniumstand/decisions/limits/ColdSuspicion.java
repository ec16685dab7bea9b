package org.geraniumstand.decisions.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ServerId;

/**
 * Tells from latency that a warm backend server has turned cold again.
 *
 * <p>A server is compared with its own past, so that one that was always slow is not suspected. One slow answer may be
 * bad luck; a few in a row are not.
 */
@Decision(
        name = "cold-again",
        summary = "A server whose answers take several times as long as its own past, a few in a row, counts as cold"
                + " again.")
public final class ColdSuspicion {
    private static final double SLOW_FACTOR = 3;
    private static final int IN_A_ROW = 3;

    private final Map<ServerId, Integer> slow = new HashMap<>();

    /**
     * Takes in an answer, or the time for which one has been missing.
     *
     * @param server the server
     * @param ratio time seen against time expected of the server's class
     * @param past the same ratio as the server had it before
     * @return whether the server counts as cold from now on
     */
    public boolean onRatio(ServerId server, double ratio, double past) {
        if (ratio < SLOW_FACTOR * Math.max(1, past)) {
            slow.remove(server);
            return false;
        }
        if (slow.merge(server, 1, Integer::sum) < IN_A_ROW) {
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
