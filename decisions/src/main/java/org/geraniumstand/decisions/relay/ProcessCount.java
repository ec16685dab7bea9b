package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Moment;

/** Counts the processes that share limits; it belongs to one thread. */
@Decision(
        name = "process-count",
        summary =
                "Retries and what cold servers bear are shared by as many processes as were live at once in the last minute, as"
                        + " one that is not heard of may still send.")
public final class ProcessCount {
    /** Milliseconds for which the processes that the store lists count as live; their leases hold for 12,000. */
    private static final long LISTED_MILLIS = 15_000;

    /**
     * Milliseconds for which processes count that are no longer heard of. They may be behind a cut, which lasts for some ten
     * seconds on an ordinary day, and send on what they know of the servers.
     */
    private static final long PEAK_WINDOW_MILLIS = 60_000;

    private int live = 1;
    private int listed = 1;
    private long listedNanos;
    private int peak;
    private long peakNanos;
    private boolean otherSeen;

    /**
     * Creates a count in a process that knows no other.
     *
     * @param assumed processes that share what servers bear until any other is known
     * @param nowNanos the monotonic time in nanoseconds
     */
    public ProcessCount(int assumed, long nowNanos) {
        this.peak = Math.max(1, assumed);
        this.peakNanos = nowNanos;
        this.listedNanos = nowNanos;
    }

    /**
     * Takes in how many processes are live, as far as they are heard of.
     *
     * @param count the processes, this one included
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onLive(int count, long nowNanos) {
        updatePeak(nowNanos);
        live = Math.max(1, count);
        dropAssumption(count);
        updatePeak(nowNanos);
    }

    /**
     * Takes in how many processes the store lists; a process that starts hears from some of them only after seconds.
     *
     * @param count the processes, those that ended lately included
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onListed(int count, long nowNanos) {
        listed = Math.max(1, count);
        listedNanos = nowNanos;
        dropAssumption(count);
        updatePeak(nowNanos);
    }

    private void dropAssumption(int count) {
        if (!otherSeen && count > 1) {
            otherSeen = true;
            peak = 0;
        }
    }

    private void updatePeak(long nowNanos) {
        if (live >= peak || nowNanos - peakNanos >= PEAK_WINDOW_MILLIS * Moment.NANOS_PER_MILLI) {
            peak = live;
            peakNanos = nowNanos;
        }
    }

    /** Returns how many processes are live, the listed ones included while that is recent. */
    int liveCount(long nowNanos) {
        boolean recent = nowNanos - listedNanos < LISTED_MILLIS * Moment.NANOS_PER_MILLI;
        return recent ? Math.max(live, listed) : live;
    }

    /** Returns how many processes may send to servers, those included that are no longer heard of. */
    int senderCount(long nowNanos) {
        updatePeak(nowNanos);
        return Math.max(peak, liveCount(nowNanos));
    }
}
