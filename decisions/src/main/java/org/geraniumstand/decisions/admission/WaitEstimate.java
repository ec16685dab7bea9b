package org.geraniumstand.decisions.admission;

import org.geraniumstand.model.time.Moment;

/** How long the next turn takes, learned from the turns while requests waited. */
public final class WaitEstimate {
    private static final double GAIN = 0.1;

    private double meanMillis;
    private Moment lastTurn;
    private Moment waitingSince;

    /**
     * Takes in that a request waits where none did before.
     *
     * @param now the time
     */
    public void onFirst(Moment now) {
        waitingSince = now;
    }

    /**
     * Takes in that a request found a server.
     *
     * @param waited whether others waited meanwhile
     * @param now the time
     */
    public void onTurn(boolean waited, Moment now) {
        if (waited && lastTurn != null) {
            meanMillis += GAIN * (now.millisSince(lastTurn) - meanMillis);
        }
        lastTurn = now;
        waitingSince = now;
    }

    /**
     * Returns the wait of a request, in milliseconds.
     *
     * @param ahead requests that go before it
     * @param now the time
     */
    public double millis(double ahead, Moment now) {
        if (ahead <= 0) {
            return 0;
        }
        // While no turn comes, the turns to come are believed to take at least as long as this one does.
        double since = waitingSince == null ? 0 : now.millisSince(waitingSince);
        return Math.max(ahead * meanMillis, since / 2);
    }
}
