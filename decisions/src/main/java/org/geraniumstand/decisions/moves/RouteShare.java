package org.geraniumstand.decisions.moves;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.decisions.evidence.Tally;
import org.geraniumstand.model.config.VersionMove;

/**
 * Decides how much of a route's traffic the new version may have.
 *
 * <p>A function of the plan, the time and the merged evidence alone.
 */
@Decision(
        name = "move-share",
        summary = "The new version's share grows with the time of the move and with the answers that it has given.")
final class RouteShare {
    /** Largest share before the soak has passed; the rest is the rear guard on the old version. */
    static final double FULL = 0.95;

    /** Requests of a route, expected over the whole move, below which the route counts as idle. */
    static final long IDLE_REQUESTS = 20;

    private static final double MAX_FIRST = 0.015;
    private static final double MIN_FIRST = 0.001;
    private static final double FIRST_ANSWERS = 400;
    private static final double FIRST_AT_RISK = 2;
    private static final long ENOUGH_ANSWERS = 20;
    private static final double ENOUGH_FRACTION = 0.02;
    private static final double RISK_PERIODS = 100;
    private static final long MIN_ELAPSED_MILLIS = 10_000;
    private static final double PERCENT = 100;

    private RouteShare() {}

    /**
     * Returns the share of a route, from 0 to {@link #FULL}.
     *
     * @param move the plan
     * @param nowMillis the time in milliseconds since 1970
     * @param next merged counts of the new version on the route
     * @param old merged counts of the old version on the route
     */
    static double of(VersionMove move, long nowMillis, Tally next, Tally old) {
        MoveTimes times = MoveTimes.of(move);
        if (nowMillis < times.startMillis()) {
            return 0;
        }
        double rate = rate(times, nowMillis, next, old);
        double first = first(move, times, rate);
        double byTime = byTime(times, nowMillis, first);
        double byEvidence = Math.max(first, byEvidence(times, rate, next));
        return Math.min(FULL, Math.min(byTime, byEvidence));
    }

    /**
     * Returns the share of a route before any evidence speaks for the new version.
     *
     * @param move the plan
     * @param nowMillis the time in milliseconds since 1970
     * @param next merged counts of the new version on the route
     * @param old merged counts of the old version on the route
     */
    static double first(VersionMove move, long nowMillis, Tally next, Tally old) {
        MoveTimes times = MoveTimes.of(move);
        return nowMillis < times.startMillis() ? 0 : first(move, times, rate(times, nowMillis, next, old));
    }

    /**
     * Tells whether a route has brought enough answers for the move to be complete; an idle route always has.
     *
     * @param move the plan
     * @param nowMillis the time in milliseconds since 1970
     * @param next merged counts of the new version on the route
     * @param old merged counts of the old version on the route
     */
    static boolean proven(VersionMove move, long nowMillis, Tally next, Tally old) {
        MoveTimes times = MoveTimes.of(move);
        double expected = rate(times, nowMillis, next, old) * times.length();
        return expected < IDLE_REQUESTS || next.successes() >= Math.min(ENOUGH_ANSWERS, ENOUGH_FRACTION * expected);
    }

    private static double rate(MoveTimes times, long nowMillis, Tally next, Tally old) {
        long elapsed = Math.max(MIN_ELAPSED_MILLIS, nowMillis - times.startMillis());
        return (next.requests() + old.requests()) / (double) elapsed;
    }

    private static double first(VersionMove move, MoveTimes times, double rate) {
        long phase = times.rampStart() - times.startMillis();
        double wanted = FIRST_ANSWERS / Math.max(1, rate * phase);
        double most = Math.min(MAX_FIRST, move.firstSharePercent() / PERCENT);
        return Math.min(most, Math.max(MIN_FIRST, wanted));
    }

    private static double byTime(MoveTimes times, long nowMillis, double first) {
        long ramped = nowMillis - times.rampStart();
        return ramped <= 0 ? first : first * Math.pow(2, Math.min(64, ramped / (double) times.doubling()));
    }

    /** Puts no more requests at risk in a hundredth of the move's time than have been answered well, and a few. */
    private static double byEvidence(MoveTimes times, double rate, Tally next) {
        double inPeriod = Math.max(1, rate * times.length() / RISK_PERIODS);
        return (FIRST_AT_RISK + next.successes()) / inPeriod;
    }
}
