package org.geraniumstand.decisions.evidence;

import java.util.Arrays;
import java.util.List;
import org.geraniumstand.model.evidence.EvidenceRow;
import org.geraniumstand.model.evidence.LatencyBuckets;

/** Counts attempts, failures and latencies. */
public final class Tally {
    /** Zero counts. */
    public static final Tally NONE = new Tally(0, 0, new long[LatencyBuckets.COUNT]);

    private final long requests;
    private final long failures;
    private final long[] buckets;

    private Tally(long requests, long failures, long[] buckets) {
        this.requests = requests;
        this.failures = failures;
        this.buckets = buckets;
    }

    /**
     * Returns the counts of one row; latency buckets unknown to this process are ignored.
     *
     * @param row the row
     */
    public static Tally of(EvidenceRow row) {
        long[] buckets = new long[LatencyBuckets.COUNT];
        List<Long> rowBuckets = row.latencyBuckets();
        for (int i = 0; i < Math.min(buckets.length, rowBuckets.size()); i++) {
            buckets[i] = rowBuckets.get(i);
        }
        return new Tally(row.requests(), row.failures(), buckets);
    }

    /**
     * Returns these counts plus one attempt.
     *
     * @param failed whether the attempt failed
     */
    public Tally withAttempt(boolean failed) {
        return new Tally(requests + 1, failures + (failed ? 1 : 0), buckets);
    }

    /**
     * Returns these counts plus one latency.
     *
     * @param millis the latency in milliseconds
     */
    public Tally withLatency(long millis) {
        long[] newBuckets = buckets.clone();
        newBuckets[LatencyBuckets.indexOf(millis)]++;
        return new Tally(requests, failures, newBuckets);
    }

    /**
     * Returns the maximum of two readings of the same counters.
     *
     * @param other the other reading
     */
    public Tally max(Tally other) {
        long[] newBuckets = new long[buckets.length];
        for (int i = 0; i < newBuckets.length; i++) {
            newBuckets[i] = Math.max(buckets[i], other.buckets[i]);
        }
        return new Tally(Math.max(requests, other.requests), Math.max(failures, other.failures), newBuckets);
    }

    /**
     * Returns the sum of these counts and those of other counters.
     *
     * @param other the counts to add
     */
    public Tally plus(Tally other) {
        return combine(other, 1);
    }

    /**
     * Returns the counts added since an earlier reading.
     *
     * @param earlier the earlier reading of the same counters
     */
    public Tally minus(Tally earlier) {
        return combine(earlier, -1);
    }

    private Tally combine(Tally other, int sign) {
        long[] newBuckets = new long[buckets.length];
        for (int i = 0; i < newBuckets.length; i++) {
            newBuckets[i] = buckets[i] + sign * other.buckets[i];
        }
        return new Tally(requests + sign * other.requests, failures + sign * other.failures, newBuckets);
    }

    /** Returns the number of attempts that ended. */
    public long requests() {
        return requests;
    }

    /** Returns the number of attempts that failed. */
    public long failures() {
        return failures;
    }

    /** Returns the number of attempts that did not fail. */
    public long successes() {
        return requests - failures;
    }

    /** Returns the number of recorded latencies. */
    public long latencies() {
        return latenciesAbove(-1);
    }

    /**
     * Returns the number of latencies in buckets above the given one.
     *
     * @param bucket the index of the bucket
     */
    public long latenciesAbove(int bucket) {
        long sum = 0;
        for (int i = bucket + 1; i < buckets.length; i++) {
            sum += buckets[i];
        }
        return sum;
    }

    /**
     * Returns the bucket that contains a quantile of the latencies, or the last bucket if there are no latencies.
     *
     * @param quantile the quantile, from 0 to 1
     */
    public int quantileBucket(double quantile) {
        double target = quantile * latencies();
        long sum = 0;
        for (int i = 0; i < buckets.length; i++) {
            sum += buckets[i];
            if (sum > 0 && sum >= target) {
                return i;
            }
        }
        return buckets.length - 1;
    }

    /** Returns the latency counts by bucket. */
    public List<Long> bucketList() {
        return Arrays.stream(buckets).boxed().toList();
    }
}
