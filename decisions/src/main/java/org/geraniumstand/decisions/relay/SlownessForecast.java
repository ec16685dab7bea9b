package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;

/** Forecasts how slow a host is now from what it stated a while ago. Not thread-safe. */
@Decision(
        name = "slowness-news",
        summary = "What a host states of its pace is expected to hold for as long as such statements held before; "
                + "with age the expectation turns to the mean of all hosts.")
final class SlownessForecast {
    /** Milliseconds for which statements are assumed to hold before any were compared; processes share their processors. */
    private static final double START_HOLD_MILLIS = 300;

    /** Shortest time learned, in milliseconds; news within a data centre is as old when it arrives. */
    private static final double MIN_HOLD_MILLIS = 10;

    /** Longest time learned, in milliseconds; older statements are not used. */
    private static final double MAX_HOLD_MILLIS = 10_000;

    /** Part by which one comparison changes the time learned, at most. */
    private static final double HOLD_GAIN = 0.1;

    /** Statements of the usual pace that are assumed before the first. */
    private static final int START_COUNT = 10;

    /** Statements that the mean and the variance are averaged over. */
    private static final int MAX_COUNT = 500;

    private double mean = 1;
    private double variance;
    private double holdMillis = START_HOLD_MILLIS;
    private int count = START_COUNT;

    /**
     * Records a statement of a host.
     *
     * @param slowness time that work takes at the host, as a multiple of the usual time
     */
    void onStated(double slowness) {
        count = Math.min(MAX_COUNT, count + 1);
        double deviation = slowness - mean;
        mean += deviation / count;
        variance += (deviation * deviation - variance) / count;
    }

    /**
     * Learns from two statements of one host for how long a statement holds, by a step against the error of the forecast.
     *
     * @param before the earlier statement, as a multiple of the usual time
     * @param after the later statement, as a multiple of the usual time
     * @param elapsedMillis milliseconds between the statements
     */
    void onStatedAgain(double before, double after, double elapsedMillis) {
        if (variance <= 0 || elapsedMillis <= 0) {
            return;
        }
        double remains = (before - mean) * Math.exp(-elapsedMillis / holdMillis);
        double error = after - mean - remains;
        double slope = remains * elapsedMillis / holdMillis;
        double step = Math.max(-1, Math.min(1, error * slope / variance));
        holdMillis = Math.max(MIN_HOLD_MILLIS, Math.min(MAX_HOLD_MILLIS, holdMillis * (1 + HOLD_GAIN * step)));
    }

    /** Returns how slow hosts are on average, as a multiple of the usual time. */
    double mean() {
        return mean;
    }

    /** Returns the milliseconds for which a statement is expected to hold. */
    double holdMillis() {
        return holdMillis;
    }

    /**
     * Returns how slow a host is expected to be, as a multiple of the usual time.
     *
     * @param stated what the host stated
     * @param ageMillis milliseconds since it did
     */
    double expected(double stated, double ageMillis) {
        return mean + (stated - mean) * Math.exp(-Math.max(0, ageMillis) / holdMillis);
    }
}
