package org.geraniumstand.proofs.moves;

import java.util.HashMap;
import java.util.Map;

/**
 * Computes when the faults of a version become statistically visible to an observer that sees all answers immediately.
 *
 * <p>The computation is independent of the product's own statistical test. A fault counts as visible once the failures
 * or slow answers on one route, since the version became bad, have a probability below one in a million both for a
 * version at the limit of the tolerable rate (Chernoff bound) and for a version equal to the old one (Fisher's exact
 * test).
 */
final class Visibility {
    private static final double TOLERABLE_FAILURES = 0.01;
    private static final double TOLERABLE_SLOW = 0.1;
    private static final double LOG_PROBABILITY = Math.log(1e-6);

    private final Map<String, Counts> newCounts = new HashMap<>();
    private final Map<String, Counts> oldCounts = new HashMap<>();
    private long visibleMillis = -1;

    private static final class Counts {
        private long trials;
        private long failures;
        private long slow;

        private void add(boolean failed, boolean tooSlow) {
            trials++;
            failures += failed ? 1 : 0;
            slow += tooSlow ? 1 : 0;
        }
    }

    /** Records an answer of the old version. */
    void recordOld(String route, boolean failed, boolean slow) {
        oldCounts.computeIfAbsent(route, _r -> new Counts()).add(failed, slow);
    }

    /** Records an answer that the new version gave after it became bad. */
    void recordNew(String route, boolean failed, boolean slow, long millis) {
        if (visibleMillis >= 0) {
            return;
        }
        Counts next = newCounts.computeIfAbsent(route, _r -> new Counts());
        Counts old = oldCounts.computeIfAbsent(route, _r -> new Counts());
        next.add(failed, slow);
        boolean failing = exceedsTolerable(next.failures, next.trials, TOLERABLE_FAILURES)
                && significantlyHigher(next.failures, next.trials, old.failures, old.trials);
        boolean tooSlow = exceedsTolerable(next.slow, next.trials, TOLERABLE_SLOW)
                && significantlyHigher(next.slow, next.trials, old.slow, old.trials);
        if (failing || tooSlow) {
            visibleMillis = millis;
        }
    }

    /** Returns when the fault became visible, in milliseconds since the start, or -1 if it has not. */
    long millis() {
        return visibleMillis;
    }

    private static boolean exceedsTolerable(long events, long trials, double tolerable) {
        double rate = events / (double) trials;
        if (rate <= tolerable) {
            return false;
        }
        double divergence = rate * Math.log(rate / tolerable)
                + (rate >= 1 ? 0 : (1 - rate) * Math.log((1 - rate) / (1 - tolerable)));
        return -trials * divergence < LOG_PROBABILITY;
    }

    private static boolean significantlyHigher(long events, long trials, long oldEvents, long oldTrials) {
        long all = events + oldEvents;
        double probability = 0;
        for (long k = events; k <= Math.min(trials, all); k++) {
            probability +=
                    Math.exp(logChoose(trials, k) + logChoose(oldTrials, all - k) - logChoose(trials + oldTrials, all));
        }
        return probability < Math.exp(LOG_PROBABILITY);
    }

    private static double logChoose(long n, long k) {
        if (k < 0 || k > n) {
            return Double.NEGATIVE_INFINITY;
        }
        return logFactorial(n) - logFactorial(k) - logFactorial(n - k);
    }

    /** Returns the natural logarithm of a factorial, computed with Stirling's series. */
    private static double logFactorial(long n) {
        double x = n + 1.0;
        double shift = 0;
        while (x < 10) {
            shift -= Math.log(x);
            x++;
        }
        return shift + (x - 0.5) * Math.log(x) - x + 0.5 * Math.log(2 * Math.PI) + 1 / (12 * x);
    }
}
