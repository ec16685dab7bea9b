package org.geraniumstand.decisions.retry;

import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.evidence.LatencyBuckets;

/** Derives the idle timeouts of a service's connections from the measured latency of its responses. */
@Decision(
        name = "silence-limits",
        summary = "A connection times out after several times the idle time seen in nearly all responses of the"
                + " service, and at the latest after the service's configured limit.")
public final class IdleTimeouts {
    private static final double QUANTILE = 0.995;
    private static final double QUANTILE_MULTIPLE = 4;
    private static final long MIN_TIMEOUT_MILLIS = 500;

    private final Histogram firstByte = new Histogram();
    private final Histogram betweenBytes = new Histogram();

    /** Counts latencies by bucket and gives older ones less weight by halving the counts regularly. */
    private static final class Histogram {
        private static final long MIN_SAMPLES = 100;
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

        long timeoutMillis(long maxMillis) {
            if (total < MIN_SAMPLES) {
                return maxMillis;
            }
            long remaining = (long) Math.ceil((double) total * QUANTILE);
            int index = 0;
            while (index < counts.length - 1 && remaining > counts[index]) {
                remaining -= counts[index];
                index++;
            }
            double timeout = (double) LatencyBuckets.upperMillis(index) * QUANTILE_MULTIPLE;
            return Math.min(maxMillis, Math.max(MIN_TIMEOUT_MILLIS, Math.round(timeout)));
        }
    }

    /**
     * Records a measured time to the first byte.
     *
     * @param millis the measured time, in milliseconds
     */
    public void recordFirstByte(long millis) {
        firstByte.add(millis);
    }

    /**
     * Records a measured time between bytes.
     *
     * @param millis the measured time, in milliseconds
     */
    public void recordBetweenBytes(long millis) {
        betweenBytes.add(millis);
    }

    /**
     * Returns the time limits of an attempt.
     *
     * <p>A request that must run at most once gets the service's configured limit, because it cannot be retried and an
     * earlier timeout gains nothing.
     *
     * @param service the service
     * @param idempotent whether the request may be sent to backend servers more than once
     * @param slowStart whether the first byte may take long, because the server is cold or the request was migrated
     */
    public Action.AttemptLimits attemptLimits(Service service, boolean idempotent, boolean slowStart) {
        long maxMillis = service.silenceMillis();
        if (!idempotent) {
            return new Action.AttemptLimits(maxMillis, maxMillis, true);
        }
        long firstByteMillis = slowStart ? maxMillis : firstByte.timeoutMillis(maxMillis);
        return new Action.AttemptLimits(firstByteMillis, betweenBytes.timeoutMillis(maxMillis), false);
    }
}
