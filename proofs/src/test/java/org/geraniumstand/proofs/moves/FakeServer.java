package org.geraniumstand.proofs.moves;

import java.util.Random;
import org.geraniumstand.model.fleet.BackendServer;

/** A backend server with a cold start, latencies that grow with its load, and a version's behaviour. */
final class FakeServer {
    static final int WARM_CONCURRENCY = 8;
    static final int COLD_CONCURRENCY = 1;

    private static final int WARM_UP_ANSWERS = 20;
    private static final int ANSWERS_PER_SLOT = 3;
    private static final double COLD_SLOWDOWN = 3;
    private static final double MEDIAN_FIRST_MILLIS = 150;
    private static final double SPREAD = 0.35;
    private static final double LOAD_SLOWDOWN = 0.6;
    private static final double BASE_FAILURE = 0.001;
    private static final int TOKEN_MILLIS = 25;

    private final BackendServer listed;
    private final Behaviour behaviour;
    private int inFlight;
    private int answers;
    private boolean leaving;

    /**
     * What a request at the server comes to.
     *
     * @param failed whether it fails
     * @param firstMillis milliseconds until the first byte
     * @param totalMillis milliseconds until the end
     */
    record Run(boolean failed, long firstMillis, long totalMillis) {}

    FakeServer(BackendServer listed, Behaviour behaviour, boolean warm) {
        this.listed = listed;
        this.behaviour = behaviour;
        this.answers = warm ? WARM_UP_ANSWERS : 0;
    }

    BackendServer listed() {
        return listed;
    }

    boolean warm() {
        return answers >= WARM_UP_ANSWERS;
    }

    void turnCold() {
        answers = 0;
    }

    void leave() {
        leaving = true;
    }

    boolean leaving() {
        return leaving;
    }

    int inFlight() {
        return inFlight;
    }

    /** Returns what the server can bear now; keepers grant no more. */
    int limit() {
        return warm() ? WARM_CONCURRENCY : Math.min(WARM_CONCURRENCY, COLD_CONCURRENCY + answers / ANSWERS_PER_SLOT);
    }

    boolean hasRoom() {
        return !leaving && inFlight < limit();
    }

    Run run(long millis, String route, int tokens, Random random) {
        inFlight++;
        double load = inFlight / (double) WARM_CONCURRENCY;
        Behaviour.Effect effect = behaviour.on(millis, route, load);
        double factor = Math.exp(SPREAD * random.nextGaussian()) * (1 + LOAD_SLOWDOWN * load * load);
        double cold = warm() ? 1 : COLD_SLOWDOWN;
        double first = MEDIAN_FIRST_MILLIS * factor * cold * effect.slowdown();
        double total = first + tokens * TOKEN_MILLIS * cold * effect.slowdown() * (1 + LOAD_SLOWDOWN * load);
        boolean failed = random.nextDouble() < BASE_FAILURE + effect.failure();
        return new Run(failed, (long) first, failed ? (long) first : (long) total);
    }

    void ended(boolean failed) {
        inFlight--;
        if (!failed) {
            answers++;
        }
    }
}
