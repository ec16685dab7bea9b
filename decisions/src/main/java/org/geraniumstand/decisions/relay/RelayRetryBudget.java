package org.geraniumstand.decisions.relay;

import java.util.Arrays;
import java.util.stream.IntStream;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Timestamp;

/** Limits how many of a service's requests are retried at another server. */
@Decision(
        name = "repeat-allowance",
        summary = "Retries stay within a fraction of the requests of the last "
                + "seconds, most of it only for as many as in the window before, "
                + "plus this process's share of a fixed allowance.")
public final class RelayRetryBudget {
    private static final int SLOTS_PER_WINDOW = 100;

    /** The current slot has only begun, so that the window reaches into one more. */
    private static final int COUNTED_SLOTS = SLOTS_PER_WINDOW + 1;

    private static final int SLOTS = 2 * COUNTED_SLOTS;

    /**
     * Fraction of the slack that is used; requests are counted when they arrive here, slightly later than the caller
     * sent them.
     */
    private static final double SLACK_SHARE = 0.90;

    /** Fraction of the ratio that requests earn if the process had as many in the window before. */
    private static final double ESTABLISHED_SHARE = 0.82;

    /**
     * Fraction of the ratio that every request earns. Another process may have spent what its own requests earned
     * before it was killed and its callers moved here, so that such requests earn this fraction twice.
     */
    private static final double FRESH_SHARE = 0.06;

    private final double ratio;
    private final double slack;
    private final long slotNanos;
    private final int[] requests = new int[SLOTS];
    private final int[] retries = new int[SLOTS];
    private long latestSlot = Long.MIN_VALUE;

    /**
     * Holds the state of a budget.
     *
     * @param requests requests of this process in the window
     * @param retries its retries in the window
     * @param allowed retries that it may make in the window
     */
    public record Usage(int requests, int retries, double allowed) {}

    /**
     * Creates a budget.
     *
     * @param ratio retries allowed per request in the window
     * @param slack additional retries allowed in the window, over all processes
     * @param windowMillis length of the window in milliseconds
     */
    public RelayRetryBudget(double ratio, double slack, long windowMillis) {
        this.ratio = ratio;
        this.slack = slack;
        this.slotNanos = windowMillis * Timestamp.NANOS_PER_MILLI / SLOTS_PER_WINDOW;
    }

    /**
     * Records the arrival of a request.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onRequest(long nowNanos) {
        requests[slotIndex(nowNanos)]++;
    }

    /**
     * Acquires a retry from the budget and returns whether one was available.
     *
     * @param slackShare fraction of the slack that this process may use
     * @param nowNanos the monotonic time in nanoseconds
     */
    public boolean tryAcquire(double slackShare, long nowNanos) {
        Usage usage = usage(slackShare, nowNanos);
        if (usage.retries() + 1 > usage.allowed()) {
            return false;
        }
        retries[slotIndex(nowNanos)]++;
        return true;
    }

    /**
     * Returns what the budget allows now and how much of it is used.
     *
     * @param slackShare fraction of the slack that this process may use
     * @param nowNanos the monotonic time in nanoseconds
     */
    public Usage usage(double slackShare, long nowNanos) {
        slotIndex(nowNanos);
        int requestCount = sum(requests, latestSlot);
        int retryCount = sum(retries, latestSlot);
        int established = Math.min(requestCount, sum(requests, latestSlot - COUNTED_SLOTS));
        double earned = ratio * (ESTABLISHED_SHARE * established + FRESH_SHARE * requestCount);
        return new Usage(requestCount, retryCount, earned + SLACK_SHARE * slack * slackShare);
    }

    /** Returns the sum of the counts of a window that ends with a slot. */
    private static int sum(int[] counts, long lastSlot) {
        return IntStream.range(0, COUNTED_SLOTS)
                .map(age -> counts[(int) Math.floorMod(lastSlot - age, (long) SLOTS)])
                .sum();
    }

    private int slotIndex(long nowNanos) {
        long current = Math.floorDiv(nowNanos, slotNanos);
        if (latestSlot == Long.MIN_VALUE || current - latestSlot >= SLOTS) {
            Arrays.fill(requests, 0);
            Arrays.fill(retries, 0);
        } else {
            for (long next = latestSlot + 1; next <= current; next++) {
                int index = (int) Math.floorMod(next, (long) SLOTS);
                requests[index] = 0;
                retries[index] = 0;
            }
        }
        latestSlot = Math.max(latestSlot, current);
        return (int) Math.floorMod(current, (long) SLOTS);
    }
}
