package org.geraniumstand.decisions.capacity;

import java.util.ArrayDeque;
import java.util.Deque;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Timestamp;

/** Limits the rate of host starts, because each start loads model weights from a rate-limited weight store. */
@Decision(
        name = "load-queue",
        summary = "Host starts are limited to the number of loads per minute that the weight store admits.")
public final class WeightLoadRateLimiter {
    private static final long WINDOW_MILLIS = 60_000;

    private final int loadsPerMinute;
    private final Deque<Timestamp> recentStarts = new ArrayDeque<>();

    /**
     * Creates a rate limiter.
     *
     * @param loadsPerMinute weight loads that the weight store admits per minute
     */
    public WeightLoadRateLimiter(int loadsPerMinute) {
        this.loadsPerMinute = loadsPerMinute;
    }

    /**
     * Returns whether another weight load may start now.
     *
     * @param now the current time
     */
    public boolean mayStart(Timestamp now) {
        while (!recentStarts.isEmpty() && now.millisSince(recentStarts.getFirst()) >= WINDOW_MILLIS) {
            recentStarts.removeFirst();
        }
        return recentStarts.size() < loadsPerMinute;
    }

    /**
     * Records the start of a weight load.
     *
     * @param now the current time
     */
    public void onStarted(Timestamp now) {
        recentStarts.addLast(now);
    }
}
