package org.geraniumstand.decisions.moves;

import java.util.ArrayDeque;
import java.util.Deque;
import org.geraniumstand.model.time.Timestamp;

/** Tracks the traffic of a service over the last seconds: its concurrency and its split between the versions. */
final class RecentTraffic {
    private static final long WINDOW_MILLIS = 10_000;
    private static final long SAMPLE_MILLIS = 1_000;
    private static final double MAX_SCALE = 400;
    private static final long MIN_REQUESTS = 10;

    private final Deque<Sample> samples = new ArrayDeque<>();
    private long attemptMillis;
    private Sample latest = new Sample(new Timestamp(0, 0), 0, 0, 0, 0);

    private record Sample(
            Timestamp sampledAt, long attemptMillis, long ownAttempts, long newAttempts, long oldAttempts) {}

    /**
     * Adds the duration of an attempt of this process.
     *
     * @param millis the duration in milliseconds
     */
    void addAttempt(long millis) {
        attemptMillis += Math.max(0, millis);
    }

    /**
     * Samples the current counts.
     *
     * @param ownAttempts attempts of this process
     * @param newAttempts attempts at the new version, over all processes
     * @param oldAttempts attempts at the old version, over all processes
     * @param now the current time
     */
    void sample(long ownAttempts, long newAttempts, long oldAttempts, Timestamp now) {
        latest = new Sample(now, attemptMillis, ownAttempts, newAttempts, oldAttempts);
        if (samples.isEmpty() || now.millisSince(samples.peekLast().sampledAt()) >= SAMPLE_MILLIS) {
            samples.addLast(latest);
        }
        while (samples.size() > 1 && now.millisSince(samples.peekFirst().sampledAt()) > WINDOW_MILLIS) {
            samples.removeFirst();
        }
    }

    /** Returns the mean number of requests in flight, extrapolated to all processes. */
    double meanInFlight() {
        if (samples.isEmpty()) {
            return 0;
        }
        Sample oldest = samples.peekFirst();
        long millis = latest.sampledAt().millisSince(oldest.sampledAt());
        long ownAttempts = latest.ownAttempts() - oldest.ownAttempts();
        if (millis <= 0 || ownAttempts <= 0) {
            return 0;
        }
        double inFlight = (latest.attemptMillis() - oldest.attemptMillis()) / (double) millis;
        double scale = (latest.newAttempts() + latest.oldAttempts() - oldest.newAttempts() - oldest.oldAttempts())
                / (double) ownAttempts;
        return inFlight * Math.min(MAX_SCALE, Math.max(1, scale));
    }

    /**
     * Returns the fraction of recent requests that went to the new version.
     *
     * @param fallback the value returned if there were too few requests
     */
    double newVersionShare(double fallback) {
        Sample oldest = samples.peekFirst();
        if (oldest == null) {
            return fallback;
        }
        long newAttempts = latest.newAttempts() - oldest.newAttempts();
        long total = newAttempts + latest.oldAttempts() - oldest.oldAttempts();
        return total < MIN_REQUESTS ? fallback : newAttempts / (double) total;
    }
}
