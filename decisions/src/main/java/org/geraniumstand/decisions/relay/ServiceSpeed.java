package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;

/**
 * Learns how fast the servers of a service work from the answers that this process gets. Not thread-safe.
 *
 * <p>Each answer moves the figures by a step toward the lower quartile of the times seen; how far the time was off does not
 * matter, so a few answers that waited behind unknown calls change little. Source: stochastic approximation of a quantile,
 * Robbins and Monro, "A stochastic approximation method", 1951; for several positive figures, each is changed in proportion
 * to its part of the expected time.
 */
@Decision(
        name = "service-speed",
        summary =
                "The time to read a prompt token, to start beside a running request and to work on a plain call are the "
                        + "lower quartile of what recent answers of the service took, divided by the slowness of the host.")
public final class ServiceSpeed {
    /** Milliseconds that an engine is assumed to need for a prompt token until the first answer. */
    private static final double START_TOKEN_MILLIS = 0.01;

    /** Milliseconds that each running request is assumed to delay a first token until the first answer. */
    private static final double START_RUNNING_MILLIS = 0.5;

    /** Milliseconds that an engine is assumed to need for a first token besides reading until the first answer. */
    private static final double START_FIRST_TOKEN_MILLIS = 10;

    /** Milliseconds that a plain server is assumed to work on a call until the first answer. */
    private static final double START_PLAIN_MILLIS = 20;

    /** Quantile that is learned: unknown calls of other processes lengthen many answers, but not a quarter of them. */
    private static final double QUANTILE = 0.25;

    /** Milliseconds after which an answer counts half; servers of another speed replace others within tens of seconds. */
    private static final double HALF_LIFE_MILLIS = 10_000;

    /** Answers that must count at least for the figures not to be replaced by the next one: less than one. */
    private static final double MIN_ANSWERS = 0.5;

    /** Bounds of a figure in milliseconds, so that products of figures stay finite. */
    private static final double MIN_MILLIS = 1e-6;

    private static final double MAX_MILLIS = 1e6;

    private static final double NANOS_IN_MILLI = 1e6;

    private double tokenMillis = START_TOKEN_MILLIS;
    private double runningMillis = START_RUNNING_MILLIS;
    private double firstTokenMillis = START_FIRST_TOKEN_MILLIS;
    private double plainMillis = START_PLAIN_MILLIS;
    private double answers;
    private long answeredNanos;

    /** Creates a speed of which nothing is known yet. */
    public ServiceSpeed() {}

    /** Returns the milliseconds that an engine takes to process a prompt token that is not in its prefix cache. */
    double prefillMillisPerToken() {
        return tokenMillis;
    }

    /** Returns the milliseconds by which each running request delays the first token of another one at an engine. */
    double runningRequestMillis() {
        return runningMillis;
    }

    /** Returns the milliseconds that an idle engine takes for a first token besides reading the prompt. */
    double firstTokenMillis() {
        return firstTokenMillis;
    }

    /** Returns the milliseconds that a call takes at a plain server, without waiting. */
    double plainCallMillis() {
        return plainMillis;
    }

    /**
     * Learns from the first token of an engine that had a free slot.
     *
     * @param tokens prompt tokens that it surely had to read first, those ahead of the call included
     * @param running other requests at the engine when the call was sent
     * @param slowness time that work took at its host, as a multiple of the usual time
     * @param millis milliseconds from sending the call to its first token
     * @param nowNanos the monotonic time in nanoseconds
     */
    void onFirstToken(double tokens, int running, double slowness, double millis, long nowNanos) {
        double reading = tokens * tokenMillis;
        double delay = running * runningMillis;
        double expected = firstTokenMillis + reading + delay;
        double change = change(expected, millis / slowness, nowNanos);
        // The first answer does not tell how its time is made up; later ones tell most of the longest part.
        double squares = firstTokenMillis * firstTokenMillis + reading * reading + delay * delay;
        boolean whole = answers == 1;
        tokenMillis = bounded(tokenMillis * (1 + change * (whole ? 1 : reading * reading / squares)));
        runningMillis = bounded(runningMillis * (1 + change * (whole ? 1 : delay * delay / squares)));
        firstTokenMillis =
                bounded(firstTokenMillis * (1 + change * (whole ? 1 : firstTokenMillis * firstTokenMillis / squares)));
    }

    /**
     * Learns from an answer of a plain server.
     *
     * @param turns mean number of calls that a slot of the server worked on until the answer, this one included
     * @param slowness time that work took at its host, as a multiple of the usual time
     * @param millis milliseconds from sending the call to its answer
     * @param nowNanos the monotonic time in nanoseconds
     */
    void onPlainAnswer(double turns, double slowness, double millis, long nowNanos) {
        plainMillis = bounded(plainMillis * (1 + change(plainMillis, millis / slowness / turns, nowNanos)));
    }

    /**
     * Returns the part by which the expected time changes with an answer; the first one replaces the assumption or what has
     * become too old.
     */
    private double change(double expectedMillis, double millis, long nowNanos) {
        double elapsedMillis = Math.max(0, nowNanos - answeredNanos) / NANOS_IN_MILLI;
        double remaining = answers * Math.exp(-Math.log(2) * elapsedMillis / HALF_LIFE_MILLIS);
        answeredNanos = nowNanos;
        if (remaining < MIN_ANSWERS) {
            answers = 1;
            return Math.max(MIN_MILLIS, millis) / expectedMillis - 1;
        }
        answers = 1 + remaining;
        double step = 1 / Math.sqrt(answers);
        return step * (millis < expectedMillis ? QUANTILE - 1 : QUANTILE);
    }

    private static double bounded(double millis) {
        return Math.max(MIN_MILLIS, Math.min(MAX_MILLIS, millis));
    }
}
