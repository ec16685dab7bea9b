package org.geraniumstand.model.evidence;

/** Bounds of the latency buckets that evidence counts in; they grow by a quarter each. */
public final class LatencyBuckets {
    /** Number of buckets; the last has no bound. */
    public static final int COUNT = 48;

    private static final double GROWTH = 1.25;

    private LatencyBuckets() {}

    /**
     * Returns the bucket of a latency.
     *
     * @param millis the latency in milliseconds
     */
    public static int indexOf(long millis) {
        if (millis <= 1) {
            return 0;
        }
        int index = (int) Math.ceil(Math.log((double) millis) / Math.log(GROWTH));
        return Math.min(index, COUNT - 1);
    }

    /**
     * Returns the upper bound of a bucket in milliseconds.
     *
     * @param index the bucket, from 0
     */
    public static long upperMillis(int index) {
        return index >= COUNT - 1 ? Long.MAX_VALUE : (long) Math.floor(Math.pow(GROWTH, index));
    }
}
