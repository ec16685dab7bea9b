package org.geraniumstand.decisions.moves;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.decisions.evidence.Tally;
import org.geraniumstand.model.evidence.LatencyBuckets;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.time.Timestamp;

/** Compares the failure rate and the latency of a new version with those of the old version on one route. */
@Decision(
        name = "version-bad",
        summary = "A version is bad if it fails or is slow more often than the old version on some route.")
final class RouteComparison {
    /** Multiple of the old version's failure rate that is permitted. */
    private static final double RATE_TOLERANCE = 1.5;

    /** Failure rate that is permitted in addition to the old version's. */
    private static final double FAILURE_MARGIN = 0.005;

    /**
     * Buckets by which the time to first byte may exceed the old version's quantile; each bucket is a quarter wider
     * than the one before.
     */
    private static final int FIRST_BYTE_TOLERANCE = 1;

    /**
     * Buckets by which the inter-token latency may exceed the old version's quantile; prefill of other requests on the
     * same engine increases this latency.
     */
    private static final int INTER_TOKEN_TOLERANCE = 2;

    private static final double SLOW_QUANTILE = 0.9;
    private static final double SLOW_MARGIN = 0.05;

    /**
     * Permitted rate of slow streams in addition to the old version's; streams that share an engine with long prompts
     * are slow on any version, and a new version starts with empty prefix caches.
     */
    private static final double SLOW_INTER_TOKEN_MARGIN = 0.2;

    private static final double TAIL_QUANTILE = 0.99;
    private static final double TAIL_MARGIN = 0.04;

    /** Additional buckets by which an answer must exceed the quantile to count as very slow rather than slow. */
    private static final int TAIL_TOLERANCE = 2;

    /** Minimum number of the old version's latencies for its quantiles to be used. */
    private static final long MIN_REFERENCE = 40;

    /** Weight of the long-term rate against the recent rate, in attempts. */
    private static final double PRIOR_WEIGHT = 50;

    /** Events assumed before any are observed. */
    private static final double PRIOR_EVENTS = 0.5;

    private static final long RECENT_MILLIS = 10_000;
    private static final long SAMPLE_MILLIS = 1_000;

    private final SequentialTest failureTest = new SequentialTest();
    private final SequentialTest slowTest = new SequentialTest();
    private final SequentialTest tailTest = new SequentialTest();
    private final Deque<Sample> samples = new ArrayDeque<>();
    private final boolean interToken;
    private final int tolerance;
    private Tally lastEvaluated = Tally.NONE;

    private record Sample(Timestamp sampledAt, Tally oldCounts) {}

    /**
     * Defines a slow answer: one beyond a quantile of the old version by some buckets, at a permitted rate above the
     * old version's.
     */
    private record Bound(double quantile, int tolerance, double margin) {}

    /** Describes why a comparison rejects the new version. */
    enum Finding {
        /** The new version fails more often. */
        FAILING("fails more often than the old version"),
        /** One answer in ten is slower. */
        SLOW("is slower than the old version"),
        /** One answer in a hundred is slower. */
        SLOW_TAIL("has more very slow answers than the old version");

        private final String text;

        Finding(String text) {
            this.text = text;
        }

        /** Returns the finding as text for operators. */
        String text() {
            return text;
        }
    }

    /**
     * Creates a comparison without evidence.
     *
     * @param route the evidence row that is compared
     */
    RouteComparison(RouteId route) {
        this.interToken = PseudoRoutes.countsInterTokenLatency(route);
        this.tolerance = interToken ? INTER_TOKEN_TOLERANCE : FIRST_BYTE_TOLERANCE;
    }

    /**
     * Adds the merged counts to the tests and returns a finding if a test has reached its threshold.
     *
     * @param newCounts counts of the new version
     * @param oldCounts counts of the old version
     * @param now the current time
     * @return why the version is bad, or empty if no test has reached its threshold
     */
    Optional<Finding> evaluate(Tally newCounts, Tally oldCounts, Timestamp now) {
        sample(oldCounts, now);
        if (newCounts == lastEvaluated) {
            return finding();
        }
        Tally recent = oldCounts.minus(samples.getFirst().oldCounts());
        Tally delta = newCounts.minus(lastEvaluated);
        lastEvaluated = newCounts;
        failureTest.add(
                delta.requests(), Math.min(delta.failures(), delta.requests()), permittedFailures(oldCounts, recent));
        if (oldCounts.latencies() >= MIN_REFERENCE) {
            addLatencies(
                    slowTest,
                    delta,
                    oldCounts,
                    recent,
                    new Bound(SLOW_QUANTILE, tolerance, interToken ? SLOW_INTER_TOKEN_MARGIN : SLOW_MARGIN));
        }
        if (!interToken && oldCounts.latencies() >= MIN_REFERENCE) {
            addLatencies(
                    tailTest,
                    delta,
                    oldCounts,
                    recent,
                    new Bound(TAIL_QUANTILE, tolerance + TAIL_TOLERANCE, TAIL_MARGIN));
        }
        return finding();
    }

    private Optional<Finding> finding() {
        if (failureTest.level() >= 1) {
            return Optional.of(Finding.FAILING);
        }
        if (slowTest.level() >= 1) {
            return Optional.of(Finding.SLOW);
        }
        return tailTest.level() >= 1 ? Optional.of(Finding.SLOW_TAIL) : Optional.empty();
    }

    /** Returns the level of the strongest test: 0 without evidence, 1 when the version is rejected. */
    double suspicion() {
        return Math.max(failureTest.level(), Math.max(slowTest.level(), tailTest.level()));
    }

    /**
     * Adds latencies beyond the old version's quantile to a test. The limit is the larger of the overall and the recent
     * quantile: as the share grows, the old version has less load than the new one and answers faster for that reason
     * alone.
     */
    private static void addLatencies(SequentialTest test, Tally delta, Tally oldCounts, Tally recent, Bound bound) {
        int overall = oldCounts.quantileBucket(bound.quantile());
        int latest = recent.latencies() >= MIN_REFERENCE ? recent.quantileBucket(bound.quantile()) : overall;
        int limit = Math.max(overall, latest) + bound.tolerance();
        if (limit >= LatencyBuckets.COUNT - 1) {
            return;
        }
        double rate = smoothedRate(
                oldCounts.latenciesAbove(limit),
                oldCounts.latencies(),
                recent.latenciesAbove(limit),
                recent.latencies());
        test.add(delta.latencies(), delta.latenciesAbove(limit), rate * RATE_TOLERANCE + bound.margin());
    }

    private static double permittedFailures(Tally oldCounts, Tally recent) {
        return smoothedRate(oldCounts.failures(), oldCounts.requests(), recent.failures(), recent.requests())
                        * RATE_TOLERANCE
                + FAILURE_MARGIN;
    }

    /** Returns the larger of the overall and the recent rate, both smoothed towards a prior. */
    private static double smoothedRate(long events, long trials, long recentEvents, long recentTrials) {
        double overall = (events + PRIOR_EVENTS) / (trials + PRIOR_WEIGHT);
        double latest = (recentEvents + PRIOR_WEIGHT * overall) / (recentTrials + PRIOR_WEIGHT);
        return Math.max(overall, latest);
    }

    private void sample(Tally oldCounts, Timestamp now) {
        if (samples.isEmpty() || now.millisSince(samples.getLast().sampledAt()) >= SAMPLE_MILLIS) {
            samples.addLast(new Sample(now, oldCounts));
        }
        while (samples.size() > 1 && now.millisSince(samples.getFirst().sampledAt()) > RECENT_MILLIS) {
            samples.removeFirst();
        }
    }
}
