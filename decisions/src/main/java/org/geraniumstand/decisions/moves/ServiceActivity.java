package org.geraniumstand.decisions.moves;

import java.util.ArrayDeque;
import java.util.Deque;
import org.geraniumstand.model.time.Moment;

/** Keeps the latest seconds of a service's traffic: the demand, and which version had it. */
final class ServiceActivity {
    private static final long WINDOW_MILLIS = 10_000;
    private static final long SAMPLE_MILLIS = 1_000;
    private static final double MAX_SCALE = 400;
    private static final long MIN_REQUESTS = 10;

    private final Deque<Sample> samples = new ArrayDeque<>();
    private long busyMillis;
    private Sample latest = new Sample(new Moment(0, 0), 0, 0, 0, 0);

    private record Sample(Moment at, long busyMillis, long own, long next, long old) {}

    /**
     * Takes in the time that an attempt of this process took.
     *
     * @param millis the time in milliseconds
     */
    void busy(long millis) {
        busyMillis += Math.max(0, millis);
    }

    /**
     * Takes in the counts as they stand.
     *
     * @param own attempts of this process
     * @param next attempts at the new version, over all processes
     * @param old attempts at the old version, over all processes
     * @param now the time
     */
    void sample(long own, long next, long old, Moment now) {
        latest = new Sample(now, busyMillis, own, next, old);
        if (samples.isEmpty() || now.millisSince(samples.peekLast().at()) >= SAMPLE_MILLIS) {
            samples.addLast(latest);
        }
        while (samples.size() > 1 && now.millisSince(samples.peekFirst().at()) > WINDOW_MILLIS) {
            samples.removeFirst();
        }
    }

    /** Returns the requests in flight on average over all processes. */
    double demand() {
        if (samples.isEmpty()) {
            return 0;
        }
        Sample first = samples.peekFirst();
        long millis = latest.at().millisSince(first.at());
        long own = latest.own() - first.own();
        if (millis <= 0 || own <= 0) {
            return 0;
        }
        double inFlight = (latest.busyMillis() - first.busyMillis()) / (double) millis;
        double scale = (latest.next() + latest.old() - first.next() - first.old()) / (double) own;
        return inFlight * Math.min(MAX_SCALE, Math.max(1, scale));
    }

    /**
     * Returns the part of the latest requests that the new version had.
     *
     * @param fallback returned when there were too few to tell
     */
    double nextShare(double fallback) {
        Sample first = samples.peekFirst();
        if (first == null) {
            return fallback;
        }
        long next = latest.next() - first.next();
        long all = next + latest.old() - first.old();
        return all < MIN_REQUESTS ? fallback : next / (double) all;
    }
}
