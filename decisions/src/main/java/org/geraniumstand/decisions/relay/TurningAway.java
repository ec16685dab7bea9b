package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.decisions.Hash;

/** Decides which calls are turned away while there is too little room, and when their callers should come back. */
@Decision(
        name = "turning-away",
        summary = "A call that is not expected to get a place in time is refused at once, from the end of the line, "
                + "and told to come back when there will be room, no later than is useful to it.")
final class TurningAway {
    /** Shortest time to come back, in milliseconds: the others' figures are about as old. */
    private static final long MIN_RETURN_MILLIS = 200;

    /** Part of the time left within which callers heed a time to come back; later it is of no use to them. */
    private static final long USEFUL_PART = 3;

    private static final int CAUTION_STEPS = 1_000;

    private TurningAway() {}

    /**
     * Returns whether a call is refused now.
     *
     * @param expectedWaitMillis expected time until it gets a place, in milliseconds
     * @param remainingMillis time until its deadline, in milliseconds
     * @param relayed whether its caller has received a part of the answer, which a refusal would lose
     */
    static boolean isHopeless(long expectedWaitMillis, long remainingMillis, boolean relayed) {
        return remainingMillis <= 0 || (!relayed && expectedWaitMillis > remainingMillis);
    }

    /** Returns how cautiously the wait of a call is expected: between 0 and 1, spread evenly over attempts. */
    static double caution(String attempt) {
        return Hash.modulo(Hash.mix(Hash.of(attempt)), CAUTION_STEPS) / (double) CAUTION_STEPS;
    }

    /**
     * Returns after which time the caller of a refused call should come back, in milliseconds.
     *
     * <p>The times of calls that are refused together are spread over as much time as the line takes, because their callers
     * would otherwise return as a crowd.
     *
     * @param attempt the caller's identifier of the attempt
     * @param lineMillis time until the calls ahead are served, in milliseconds
     * @param remainingMillis time until the deadline of the call, in milliseconds
     */
    static long returnMillis(String attempt, long lineMillis, long remainingMillis) {
        long usefulMillis = Math.max(MIN_RETURN_MILLIS, remainingMillis / USEFUL_PART);
        long endMillis = Math.min(usefulMillis, 2 * Math.max(MIN_RETURN_MILLIS, lineMillis));
        long startMillis = Math.min(endMillis / 2, lineMillis);
        int spread = (int) Math.min(Integer.MAX_VALUE, Math.max(1, endMillis - startMillis + 1));
        return startMillis + Hash.modulo(Hash.of(attempt), spread);
    }
}
