package org.geraniumstand.proofs.moves;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells from when on a version's badness is statistically visible to somebody who sees all answers at once.
 *
 * <p>Independent of the product's test. Since the version turned bad, the failures or slow answers on one route are so
 * many that a version at the limit of what is tolerable would show them with a probability below one in a million
 * (Chernoff bound), and so would one that is equal to the old version (Fisher's exact test).
 */
final class Visibility {
    private static final double TOLERABLE_FAILURES = 0.01;
    private static final double TOLERABLE_SLOW = 0.1;
    private static final double LOG_PROBABILITY = Math.log(1e-6);

    private final Map<String, Counts> bad = new HashMap<>();
    private final Map<String, Counts> sound = new HashMap<>();
    private long visibleMillis = -1;

    private static final class Counts {
        private long trials;
        private long failures;
        private long slow;

        private void add(boolean failed, boolean late) {
            trials++;
            failures += failed ? 1 : 0;
            slow += late ? 1 : 0;
        }
    }

    /** Takes in an answer of the old version. */
    void addOld(String route, boolean failed, boolean slow) {
        sound.computeIfAbsent(route, _r -> new Counts()).add(failed, slow);
    }

    /** Takes in an answer of the new version since it turned bad. */
    void addBad(String route, boolean failed, boolean slow, long millis) {
        if (visibleMillis >= 0) {
            return;
        }
        Counts next = bad.computeIfAbsent(route, _r -> new Counts());
        Counts old = sound.computeIfAbsent(route, _r -> new Counts());
        next.add(failed, slow);
        boolean failing = improbable(next.failures, next.trials, TOLERABLE_FAILURES)
                && unequal(next.failures, next.trials, old.failures, old.trials);
        boolean late = improbable(next.slow, next.trials, TOLERABLE_SLOW)
                && unequal(next.slow, next.trials, old.slow, old.trials);
        if (failing || late) {
            visibleMillis = millis;
        }
    }

    /** Returns when it became visible, in milliseconds since the start, or -1. */
    long millis() {
        return visibleMillis;
    }

    private static boolean improbable(long events, long trials, double tolerable) {
        double rate = events / (double) trials;
        if (rate <= tolerable) {
            return false;
        }
        double divergence = rate * Math.log(rate / tolerable)
                + (rate >= 1 ? 0 : (1 - rate) * Math.log((1 - rate) / (1 - tolerable)));
        return -trials * divergence < LOG_PROBABILITY;
    }

    private static boolean unequal(long events, long trials, long oldEvents, long oldTrials) {
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

    /** Returns the logarithm of a factorial by Stirling's series. */
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
