package org.geraniumstand.decisions.evidence;

import java.util.Arrays;
import java.util.List;
import org.geraniumstand.model.evidence.EvidenceRow;
import org.geraniumstand.model.evidence.LatencyBuckets;

/** Attempts, failures and latencies counted over some processes and some time. */
public final class Tally {
    /** Nothing counted. */
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
     * Returns the counts of one row; latency buckets that this process does not know are left out.
     *
     * @param row the row
     */
    public static Tally of(EvidenceRow row) {
        long[] buckets = new long[LatencyBuckets.COUNT];
        List<Long> counted = row.latencyBuckets();
        for (int i = 0; i < Math.min(buckets.length, counted.size()); i++) {
            buckets[i] = counted.get(i);
        }
        return new Tally(row.requests(), row.failures(), buckets);
    }

    /**
     * Returns these counts and one attempt more.
     *
     * @param failed whether it failed
     */
    public Tally withAttempt(boolean failed) {
        return new Tally(requests + 1, failures + (failed ? 1 : 0), buckets);
    }

    /**
     * Returns these counts and one latency more.
     *
     * @param millis the latency in milliseconds
     */
    public Tally withLatency(long millis) {
        long[] next = buckets.clone();
        next[LatencyBuckets.indexOf(millis)]++;
        return new Tally(requests, failures, next);
    }

    /**
     * Merges two readings of the same counters by maximum.
     *
     * @param other the other reading
     */
    public Tally max(Tally other) {
        long[] next = new long[buckets.length];
        for (int i = 0; i < next.length; i++) {
            next[i] = Math.max(buckets[i], other.buckets[i]);
        }
        return new Tally(Math.max(requests, other.requests), Math.max(failures, other.failures), next);
    }

    /**
     * Adds the counts of other counters.
     *
     * @param other the other counts
     */
    public Tally plus(Tally other) {
        return combine(other, 1);
    }

    /**
     * Returns what was counted since an earlier reading.
     *
     * @param earlier the earlier reading of the same counters
     */
    public Tally minus(Tally earlier) {
        return combine(earlier, -1);
    }

    private Tally combine(Tally other, int sign) {
        long[] next = new long[buckets.length];
        for (int i = 0; i < next.length; i++) {
            next[i] = buckets[i] + sign * other.buckets[i];
        }
        return new Tally(requests + sign * other.requests, failures + sign * other.failures, next);
    }

    /** Returns the attempts that ended. */
    public long requests() {
        return requests;
    }

    /** Returns the attempts that failed. */
    public long failures() {
        return failures;
    }

    /** Returns the attempts that did not fail. */
    public long successes() {
        return requests - failures;
    }

    /** Returns the number of latencies counted. */
    public long latencies() {
        return above(-1);
    }

    /**
     * Returns the number of latencies in buckets past an index.
     *
     * @param bucket the index
     */
    public long above(int bucket) {
        long sum = 0;
        for (int i = bucket + 1; i < buckets.length; i++) {
            sum += buckets[i];
        }
        return sum;
    }

    /**
     * Returns the bucket that a quantile of the latencies falls in, or the last one if none was counted.
     *
     * @param quantile the quantile, from 0 to 1
     */
    public int quantileBucket(double quantile) {
        double wanted = quantile * latencies();
        long sum = 0;
        for (int i = 0; i < buckets.length; i++) {
            sum += buckets[i];
            if (sum > 0 && sum >= wanted) {
                return i;
            }
        }
        return buckets.length - 1;
    }

    /** Returns the latency counts as a list, by bucket. */
    public List<Long> bucketList() {
        return Arrays.stream(buckets).boxed().toList();
    }
}
