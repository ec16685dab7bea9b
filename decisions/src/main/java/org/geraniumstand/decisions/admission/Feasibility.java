package org.geraniumstand.decisions.admission;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Priority;
import org.geraniumstand.model.request.RequestInfo;
import org.geraniumstand.model.time.Timestamp;

/**
 * Decides whether a request can still be answered in time.
 *
 * <p>A request that cannot be answered in time is refused immediately instead of shortly before its deadline, so that
 * its caller can try elsewhere. The latency target is checked only on arrival: an accepted request stays queued until
 * its deadline, even if servers are reclaimed meanwhile.
 */
@Decision(
        name = "feasibility",
        summary = "A request is refused immediately if it cannot meet its deadline, or if on arrival it would miss the"
                + " first-token target by a wide margin.")
public final class Feasibility {
    private static final double TARGET_MULTIPLE = 3;
    private static final double DEADLINE_SHARE = 0.25;
    private static final double EXPECTED_ANSWER_SHARE = 0.5;

    private Feasibility() {}

    /**
     * Returns whether a request can be answered before its deadline.
     *
     * @param info the request
     * @param waitMillis estimated time until the request is dispatched, in milliseconds
     * @param firstTokenMillis estimated time from dispatch to the first token, in milliseconds
     * @param betweenTokensMillis estimated time between tokens, in milliseconds
     * @param now the current time
     */
    public static boolean meetsDeadline(
            RequestInfo info, double waitMillis, double firstTokenMillis, double betweenTokensMillis, Timestamp now) {
        // Callers often request more tokens than the model generates, so only half of them must fit.
        double neededMillis =
                waitMillis + firstTokenMillis + EXPECTED_ANSWER_SHARE * info.answerTokens() * betweenTokensMillis;
        return neededMillis <= remainingMillis(info, now);
    }

    /**
     * Returns whether the estimated wait of an arriving request is acceptable: for an interactive request, up to a
     * multiple of the latency target or a share of the time until its deadline, whichever is longer. Batch requests are
     * always acceptable.
     *
     * @param info the request
     * @param waitMillis estimated time until the request is dispatched, in milliseconds
     * @param targetMillis target for the time to the first token, in milliseconds
     * @param now the current time
     */
    public static boolean nearTarget(RequestInfo info, double waitMillis, double targetMillis, Timestamp now) {
        double maxWaitMillis = Math.max(TARGET_MULTIPLE * targetMillis, DEADLINE_SHARE * remainingMillis(info, now));
        return info.priority() == Priority.BATCH || waitMillis <= maxWaitMillis;
    }

    private static double remainingMillis(RequestInfo info, Timestamp now) {
        return (double) (info.deadlineNanos() - now.nanos()) / Timestamp.NANOS_PER_MILLI;
    }
}
