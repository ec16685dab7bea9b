package org.geraniumstand.decisions.admission;

import org.geraniumstand.model.time.Timestamp;

/** Estimates how long a request will wait, from the intervals between dispatches while other requests waited. */
public final class WaitEstimator {
    private static final double GAIN = 0.1;

    private double meanMillis;
    private Timestamp dispatchedAt;
    private Timestamp waitingSince;

    /**
     * Records that a request waits in a queue that was empty before.
     *
     * @param now the current time
     */
    public void onQueueStart(Timestamp now) {
        waitingSince = now;
    }

    /**
     * Records that a request was dispatched.
     *
     * @param waited whether the request waited before it was dispatched
     * @param now the current time
     */
    public void onDispatch(boolean waited, Timestamp now) {
        if (waited && dispatchedAt != null) {
            meanMillis += GAIN * (now.millisSince(dispatchedAt) - meanMillis);
        }
        dispatchedAt = now;
        waitingSince = now;
    }

    /**
     * Returns the estimated wait of a request, in milliseconds.
     *
     * @param requestsAhead number of requests that will be dispatched before it
     * @param now the current time
     */
    public double millis(double requestsAhead, Timestamp now) {
        if (requestsAhead <= 0) {
            return 0;
        }
        // While nothing is dispatched, the estimate grows with the time since the last dispatch or since the queue was
        // empty, because the next dispatches are expected to take at least as long.
        double waitedMillis = waitingSince == null ? 0 : now.millisSince(waitingSince);
        return Math.max(requestsAhead * meanMillis, waitedMillis / 2);
    }
}
