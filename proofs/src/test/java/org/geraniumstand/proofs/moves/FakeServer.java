package org.geraniumstand.proofs.moves;

import java.util.Random;
import org.geraniumstand.model.fleet.BackendServer;

/** Simulates a backend server with a cold start, latency that grows with load, and the behaviour of its version. */
final class FakeServer {
    static final int WARM_CONCURRENCY = 8;
    static final int COLD_CONCURRENCY = 1;

    private static final int ANSWERS_UNTIL_WARM = 20;
    private static final int ANSWERS_PER_SLOT = 3;
    private static final double COLD_SLOWDOWN = 3;
    private static final double MEDIAN_FIRST_MILLIS = 150;
    private static final double LATENCY_SPREAD = 0.35;
    private static final double LOAD_SLOWDOWN = 0.6;
    private static final double BASE_FAILURE_RATE = 0.001;
    private static final int TOKEN_MILLIS = 25;

    private final BackendServer listed;
    private final Behaviour behaviour;
    private int inFlight;
    private int answers;
    private boolean draining;

    /**
     * Holds the result of one request at the server.
     *
     * @param failed whether the request fails
     * @param firstMillis time to the first byte, in milliseconds
     * @param totalMillis time to the end of the answer, in milliseconds
     */
    record Run(boolean failed, long firstMillis, long totalMillis) {}

    FakeServer(BackendServer listed, Behaviour behaviour, boolean warm) {
        this.listed = listed;
        this.behaviour = behaviour;
        this.answers = warm ? ANSWERS_UNTIL_WARM : 0;
    }

    BackendServer listed() {
        return listed;
    }

    boolean warm() {
        return answers >= ANSWERS_UNTIL_WARM;
    }

    void becomeCold() {
        answers = 0;
    }

    void startDraining() {
        draining = true;
    }

    boolean draining() {
        return draining;
    }

    int inFlight() {
        return inFlight;
    }

    /** Returns the number of concurrent requests that the server can handle now; the server's owner grants no more. */
    int concurrencyLimit() {
        return warm() ? WARM_CONCURRENCY : Math.min(WARM_CONCURRENCY, COLD_CONCURRENCY + answers / ANSWERS_PER_SLOT);
    }

    boolean hasCapacity() {
        return !draining && inFlight < concurrencyLimit();
    }

    Run run(long millis, String route, int tokens, Random random) {
        inFlight++;
        double load = inFlight / (double) WARM_CONCURRENCY;
        Behaviour.Effect effect = behaviour.effectOn(millis, route, load);
        double factor = Math.exp(LATENCY_SPREAD * random.nextGaussian()) * (1 + LOAD_SLOWDOWN * load * load);
        double cold = warm() ? 1 : COLD_SLOWDOWN;
        double first = MEDIAN_FIRST_MILLIS * factor * cold * effect.slowdown();
        double total = first + tokens * TOKEN_MILLIS * cold * effect.slowdown() * (1 + LOAD_SLOWDOWN * load);
        boolean failed = random.nextDouble() < BASE_FAILURE_RATE + effect.failure();
        return new Run(failed, (long) first, failed ? (long) first : (long) total);
    }

    void ended(boolean failed) {
        inFlight--;
        if (!failed) {
            answers++;
        }
    }
}
