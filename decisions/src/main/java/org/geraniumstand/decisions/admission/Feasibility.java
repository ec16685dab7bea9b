package org.geraniumstand.decisions.admission;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Priority;
import org.geraniumstand.model.request.RequestFacts;
import org.geraniumstand.model.time.Moment;

/**
 * Tells whether a request that waits can still be answered in time.
 *
 * <p>One that cannot is refused at once, so that its caller can turn elsewhere; it is never held back until shortly
 * before its deadline.
 */
@Decision(
        name = "feasibility",
        summary = "A request that cannot meet its deadline, or the first-token target by a wide margin, is refused at"
                + " once.")
public final class Feasibility {
    private static final double TARGET_MARGIN = 3;
    private static final double ANSWER_NEEDED = 0.5;

    private Feasibility() {}

    /**
     * Returns whether a request can be answered in time.
     *
     * @param facts the request
     * @param waitedMillis how long it waited already, in milliseconds
     * @param waitMillis how long it has to wait still, in milliseconds
     * @param firstMillis time to the first token once it has a server, in milliseconds
     * @param betweenMillis time between tokens, in milliseconds
     * @param targetMillis target for the first token, in milliseconds
     * @param now the time
     */
    public static boolean test(
            RequestFacts facts,
            double waitedMillis,
            double waitMillis,
            double firstMillis,
            double betweenMillis,
            double targetMillis,
            Moment now) {
        double leftMillis = (double) (facts.deadlineNanos() - now.nanos()) / Moment.NANOS_PER_MILLI;
        // What is demanded is often more than what is generated, so half of it must fit.
        double needed = waitMillis + firstMillis + ANSWER_NEEDED * facts.answerTokens() * betweenMillis;
        if (needed > leftMillis) {
            return false;
        }
        if (facts.priority() == Priority.BATCH) {
            return true;
        }
        return waitedMillis + waitMillis <= TARGET_MARGIN * targetMillis;
    }
}
