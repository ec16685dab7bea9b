package org.geraniumstand.decisions.moves;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.decisions.evidence.Tally;
import org.geraniumstand.model.evidence.LatencyBuckets;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.time.Moment;

/** Decides whether a new version is worse than the old one on one route. */
@Decision(
        name = "version-bad",
        summary = "A version is bad on a route where it fails or is slow more often than the old one does.")
final class RouteJudge {
    /** Failures are permitted at this multiple of the old version's rate. */
    private static final double RATE_TOLERANCE = 1.5;

    /** Failures are permitted at this rate beyond the old version's. */
    private static final double FAILURE_MARGIN = 0.005;

    /** Buckets by which a first byte may come after the old version's quantile; each is a quarter. */
    private static final int FIRST_BYTE_TOLERANCE = 1;

    /** The same for the time between tokens, which prompts of other requests on the same engine lengthen. */
    private static final int PACE_TOLERANCE = 2;

    private static final double SLOW_QUANTILE = 0.9;
    private static final double SLOW_MARGIN = 0.05;

    /** Streams beside long prompts are slow on any version, and a new one has empty prefix caches at first. */
    private static final double SLOW_PACE_MARGIN = 0.2;

    private static final double TAIL_QUANTILE = 0.99;
    private static final double TAIL_MARGIN = 0.04;

    /** Buckets that a very slow answer lies beyond a slow one. */
    private static final int TAIL_TOLERANCE = 2;

    /** Latencies of the old version below which its quantiles are not trusted. */
    private static final long MIN_REFERENCE = 40;

    /** Attempts that the long-term rate counts as against the latest rate. */
    private static final double PRIOR_WEIGHT = 50;

    /** Events assumed before any are seen. */
    private static final double PRIOR_EVENTS = 0.5;

    private static final long RECENT_MILLIS = 10_000;
    private static final long SAMPLE_MILLIS = 1_000;

    private final SequentialTest failing = new SequentialTest();
    private final SequentialTest slow = new SequentialTest();
    private final SequentialTest tail = new SequentialTest();
    private final Deque<Sample> samples = new ArrayDeque<>();
    private final boolean pace;
    private final int tolerance;
    private Tally judged = Tally.NONE;

    private record Sample(Moment at, Tally old) {}

    /** What is slow: past a quantile of the old version by some buckets, at a rate beyond its own. */
    private record Bound(double quantile, int tolerance, double margin) {}

    /** What the judge makes of a version. */
    enum Finding {
        /** It fails more often. */
        FAILING("fails more often than the old version"),
        /** One answer in ten is slower. */
        SLOW("is slower than the old version"),
        /** One answer in a hundred is slower. */
        SLOW_TAIL("has more very slow answers than the old version");

        private final String text;

        Finding(String text) {
            this.text = text;
        }

        /** Returns the finding in words. */
        String text() {
            return text;
        }
    }

    /**
     * Creates a judge.
     *
     * @param route the row of evidence that it judges
     */
    RouteJudge(RouteId route) {
        this.pace = EvidenceRoutes.countsPace(route);
        this.tolerance = pace ? PACE_TOLERANCE : FIRST_BYTE_TOLERANCE;
    }

    /**
     * Takes in the merged counts and judges.
     *
     * @param next counts of the new version
     * @param old counts of the old version
     * @param now the time
     * @return why the version is bad, if it is
     */
    Optional<Finding> judge(Tally next, Tally old, Moment now) {
        sample(old, now);
        if (next == judged) {
            return finding();
        }
        Tally recent = old.minus(samples.getFirst().old());
        Tally delta = next.minus(judged);
        judged = next;
        failing.add(delta.requests(), Math.min(delta.failures(), delta.requests()), permittedFailures(old, recent));
        if (old.latencies() >= MIN_REFERENCE) {
            addLatencies(
                    slow,
                    delta,
                    old,
                    recent,
                    new Bound(SLOW_QUANTILE, tolerance, pace ? SLOW_PACE_MARGIN : SLOW_MARGIN));
        }
        if (!pace && old.latencies() >= MIN_REFERENCE) {
            addLatencies(tail, delta, old, recent, new Bound(TAIL_QUANTILE, tolerance + TAIL_TOLERANCE, TAIL_MARGIN));
        }
        return finding();
    }

    private Optional<Finding> finding() {
        if (failing.level() >= 1) {
            return Optional.of(Finding.FAILING);
        }
        if (slow.level() >= 1) {
            return Optional.of(Finding.SLOW);
        }
        return tail.level() >= 1 ? Optional.of(Finding.SLOW_TAIL) : Optional.empty();
    }

    /** Returns how far the evidence against the version has come: 0 for none, 1 for proof. */
    double suspicion() {
        return Math.max(failing.level(), Math.max(slow.level(), tail.level()));
    }

    /**
     * Counts latencies past the old version's quantile, over all its time or lately, whichever is larger: as the share
     * grows the old version has less load than the new one and answers faster for that reason alone.
     */
    private static void addLatencies(SequentialTest test, Tally delta, Tally old, Tally recent, Bound bound) {
        int overall = old.quantileBucket(bound.quantile());
        int latest = recent.latencies() >= MIN_REFERENCE ? recent.quantileBucket(bound.quantile()) : overall;
        int limit = Math.max(overall, latest) + bound.tolerance();
        if (limit >= LatencyBuckets.COUNT - 1) {
            return;
        }
        double rate = blend(old.above(limit), old.latencies(), recent.above(limit), recent.latencies());
        test.add(delta.latencies(), delta.above(limit), rate * RATE_TOLERANCE + bound.margin());
    }

    private static double permittedFailures(Tally old, Tally recent) {
        return blend(old.failures(), old.requests(), recent.failures(), recent.requests()) * RATE_TOLERANCE
                + FAILURE_MARGIN;
    }

    /** Returns the larger of the rate so far and the latest rate, both drawn towards what is known. */
    private static double blend(long events, long trials, long recentEvents, long recentTrials) {
        double overall = (events + PRIOR_EVENTS) / (trials + PRIOR_WEIGHT);
        double latest = (recentEvents + PRIOR_WEIGHT * overall) / (recentTrials + PRIOR_WEIGHT);
        return Math.max(overall, latest);
    }

    private void sample(Tally old, Moment now) {
        if (samples.isEmpty() || now.millisSince(samples.getLast().at()) >= SAMPLE_MILLIS) {
            samples.addLast(new Sample(now, old));
        }
        while (samples.size() > 1 && now.millisSince(samples.getFirst().at()) > RECENT_MILLIS) {
            samples.removeFirst();
        }
    }
}
