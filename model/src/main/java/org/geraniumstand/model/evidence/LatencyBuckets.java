package org.geraniumstand.model.evidence;

/** Defines the buckets of latency histograms in evidence; each upper bound is 25% above the one before. */
public final class LatencyBuckets {
    /** Number of buckets; the last one has no upper bound. */
    public static final int COUNT = 48;

    private static final double GROWTH = 1.25;

    private LatencyBuckets() {}

    /**
     * Returns the index of the bucket that counts a latency.
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
     * @param index index of the bucket, from 0
     */
    public static long upperMillis(int index) {
        return index >= COUNT - 1 ? Long.MAX_VALUE : (long) Math.floor(Math.pow(GROWTH, index));
    }
}
