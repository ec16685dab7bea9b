package org.geraniumstand.decisions.retry;

import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.evidence.LatencyBuckets;

/** The silence that a service's answers may show before a connection counts as silent. */
@Decision(
        name = "silence-limits",
        summary = "A connection counts as silent after several times the silence that nearly all answers of the service"
                + " show, and at the latest after the service's own limit.")
public final class SilenceLimits {
    private static final double QUANTILE = 0.995;
    private static final double MARGIN = 4;
    private static final long LEAST_MILLIS = 500;

    private final Histogram first = new Histogram();
    private final Histogram between = new Histogram();

    /** Counts of latencies in which older ones fade. */
    private static final class Histogram {
        private static final long ENOUGH = 100;
        private static final long HALVE_AT = 4_000;

        private final long[] counts = new long[LatencyBuckets.COUNT];
        private long total;

        void add(long millis) {
            counts[LatencyBuckets.indexOf(millis)]++;
            total++;
            if (total >= HALVE_AT) {
                halve();
            }
        }

        private void halve() {
            total = 0;
            for (int i = 0; i < counts.length; i++) {
                counts[i] /= 2;
                total += counts[i];
            }
        }

        long limit(long most) {
            if (total < ENOUGH) {
                return most;
            }
            long rest = (long) Math.ceil((double) total * QUANTILE);
            int index = 0;
            while (index < counts.length - 1 && rest > counts[index]) {
                rest -= counts[index];
                index++;
            }
            double limit = (double) LatencyBuckets.upperMillis(index) * MARGIN;
            return Math.min(most, Math.max(LEAST_MILLIS, Math.round(limit)));
        }
    }

    /**
     * Takes in the time to a first byte.
     *
     * @param millis the time, in milliseconds
     */
    public void onFirst(long millis) {
        first.add(millis);
    }

    /**
     * Takes in the time between bytes.
     *
     * @param millis the time, in milliseconds
     */
    public void onBetween(long millis) {
        between.add(millis);
    }

    /**
     * Returns the limits of an attempt.
     *
     * <p>Work that must run at most once gets the service's own limit, as giving up on it early gains nothing.
     *
     * @param service the service
     * @param idempotent whether the request may reach backend servers more than once
     * @param patient whether the server is cold or the request was moved before, so that it may take long
     */
    public Action.AttemptLimits limits(Service service, boolean idempotent, boolean patient) {
        long most = service.silenceMillis();
        if (!idempotent) {
            return new Action.AttemptLimits(most, most, true);
        }
        long firstMillis = patient ? most : first.limit(most);
        return new Action.AttemptLimits(firstMillis, between.limit(most), false);
    }
}
