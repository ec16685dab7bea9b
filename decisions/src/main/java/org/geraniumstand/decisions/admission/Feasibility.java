package org.geraniumstand.decisions.admission;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Priority;
import org.geraniumstand.model.request.RequestFacts;
import org.geraniumstand.model.time.Moment;

/**
 * Tells whether a request can still be answered in time.
 *
 * <p>One that cannot is refused at once, so that its caller can turn elsewhere; it is never held back until shortly
 * before its deadline. The target counts on arrival alone: an accepted request keeps its place until its caller would
 * stop waiting, whatever is reclaimed meanwhile.
 */
@Decision(
        name = "feasibility",
        summary = "A request that cannot meet its deadline, or on arrival the first-token target by a wide margin, is"
                + " refused at once.")
public final class Feasibility {
    private static final double TARGET_MARGIN = 3;
    private static final double PATIENCE_SHARE = 0.25;
    private static final double ANSWER_NEEDED = 0.5;

    private Feasibility() {}

    /**
     * Returns whether a request can be answered before its deadline.
     *
     * @param facts the request
     * @param waitMillis how long it has to wait still, in milliseconds
     * @param firstMillis time to the first token once it has a server, in milliseconds
     * @param betweenMillis time between tokens, in milliseconds
     * @param now the time
     */
    public static boolean meetsDeadline(
            RequestFacts facts, double waitMillis, double firstMillis, double betweenMillis, Moment now) {
        // What is demanded is often more than what is generated, so half of it must fit.
        double needed = waitMillis + firstMillis + ANSWER_NEEDED * facts.answerTokens() * betweenMillis;
        return needed <= leftMillis(facts, now);
    }

    /**
     * Returns whether a request that arrives would start near enough to the target, or early enough for its caller.
     *
     * @param facts the request
     * @param waitMillis how long it has to wait, in milliseconds
     * @param targetMillis target for the first token, in milliseconds
     * @param now the time
     */
    public static boolean nearTarget(RequestFacts facts, double waitMillis, double targetMillis, Moment now) {
        double bearable = Math.max(TARGET_MARGIN * targetMillis, PATIENCE_SHARE * leftMillis(facts, now));
        return facts.priority() == Priority.BATCH || waitMillis <= bearable;
    }

    private static double leftMillis(RequestFacts facts, Moment now) {
        return (double) (facts.deadlineNanos() - now.nanos()) / Moment.NANOS_PER_MILLI;
    }
}
