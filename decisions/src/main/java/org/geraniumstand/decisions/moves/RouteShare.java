package org.geraniumstand.decisions.moves;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.decisions.evidence.Tally;
import org.geraniumstand.model.config.VersionMove;

/**
 * Computes the share of a route's traffic that the new version may receive.
 *
 * <p>The share depends only on the move, the time and the merged evidence.
 */
@Decision(
        name = "move-share",
        summary = "The new version's share grows with the elapsed time of the move and with the requests that it has"
                + " answered.")
final class RouteShare {
    /**
     * Largest share before the soak has passed; the rest of the traffic stays on the old version as a control group.
     */
    static final double FULL_SHARE = 0.95;

    /** Requests expected on a route over the whole move below which the route counts as idle. */
    static final long IDLE_REQUESTS = 20;

    private static final double MAX_INITIAL_SHARE = 0.015;
    private static final double MIN_INITIAL_SHARE = 0.001;
    private static final double INITIAL_ANSWERS = 400;
    private static final double INITIAL_AT_RISK = 2;
    private static final long REQUIRED_ANSWERS = 20;
    private static final double REQUIRED_FRACTION = 0.02;
    private static final double RISK_PERIODS = 100;
    private static final long MIN_ELAPSED_MILLIS = 10_000;
    private static final double PERCENT = 100;

    private RouteShare() {}

    /**
     * Returns the new version's share of a route, from 0 to {@link #FULL_SHARE}.
     *
     * @param move the move
     * @param nowMillis the current time in milliseconds since 1970
     * @param newCounts merged counts of the new version on the route
     * @param oldCounts merged counts of the old version on the route
     */
    static double of(VersionMove move, long nowMillis, Tally newCounts, Tally oldCounts) {
        MoveSchedule schedule = MoveSchedule.of(move);
        if (nowMillis < schedule.startMillis()) {
            return 0;
        }
        double requestsPerMillis = requestsPerMillis(schedule, nowMillis, newCounts, oldCounts);
        double initialShare = initialShare(move, schedule, requestsPerMillis);
        double timeLimit = timeLimit(schedule, nowMillis, initialShare);
        double evidenceLimit = Math.max(initialShare, evidenceLimit(schedule, requestsPerMillis, newCounts));
        return Math.min(FULL_SHARE, Math.min(timeLimit, evidenceLimit));
    }

    /**
     * Returns the share of a route before the new version has answered any request.
     *
     * @param move the move
     * @param nowMillis the current time in milliseconds since 1970
     * @param newCounts merged counts of the new version on the route
     * @param oldCounts merged counts of the old version on the route
     */
    static double initialShare(VersionMove move, long nowMillis, Tally newCounts, Tally oldCounts) {
        MoveSchedule schedule = MoveSchedule.of(move);
        return nowMillis < schedule.startMillis()
                ? 0
                : initialShare(move, schedule, requestsPerMillis(schedule, nowMillis, newCounts, oldCounts));
    }

    /**
     * Returns whether the new version has answered enough requests on a route for the move to complete; an idle route
     * needs none.
     *
     * @param move the move
     * @param nowMillis the current time in milliseconds since 1970
     * @param newCounts merged counts of the new version on the route
     * @param oldCounts merged counts of the old version on the route
     */
    static boolean hasEnoughAnswers(VersionMove move, long nowMillis, Tally newCounts, Tally oldCounts) {
        MoveSchedule schedule = MoveSchedule.of(move);
        double expectedRequests =
                requestsPerMillis(schedule, nowMillis, newCounts, oldCounts) * schedule.durationMillis();
        return expectedRequests < IDLE_REQUESTS
                || newCounts.successes() >= Math.min(REQUIRED_ANSWERS, REQUIRED_FRACTION * expectedRequests);
    }

    private static double requestsPerMillis(MoveSchedule schedule, long nowMillis, Tally newCounts, Tally oldCounts) {
        long elapsedMillis = Math.max(MIN_ELAPSED_MILLIS, nowMillis - schedule.startMillis());
        return (newCounts.requests() + oldCounts.requests()) / (double) elapsedMillis;
    }

    private static double initialShare(VersionMove move, MoveSchedule schedule, double requestsPerMillis) {
        long phaseMillis = schedule.rampStartMillis() - schedule.startMillis();
        double desiredShare = INITIAL_ANSWERS / Math.max(1, requestsPerMillis * phaseMillis);
        double maxShare = Math.min(MAX_INITIAL_SHARE, move.firstSharePercent() / PERCENT);
        return Math.min(maxShare, Math.max(MIN_INITIAL_SHARE, desiredShare));
    }

    private static double timeLimit(MoveSchedule schedule, long nowMillis, double initialShare) {
        long rampMillis = nowMillis - schedule.rampStartMillis();
        return rampMillis <= 0
                ? initialShare
                : initialShare * Math.pow(2, Math.min(64, rampMillis / (double) schedule.doublingMillis()));
    }

    /**
     * Limits the requests that the new version receives in a hundredth of the move's duration to the number that it has
     * answered without failure, plus {@link #INITIAL_AT_RISK}.
     */
    private static double evidenceLimit(MoveSchedule schedule, double requestsPerMillis, Tally newCounts) {
        double requestsPerPeriod = Math.max(1, requestsPerMillis * schedule.durationMillis() / RISK_PERIODS);
        return (INITIAL_AT_RISK + newCounts.successes()) / requestsPerPeriod;
    }
}
