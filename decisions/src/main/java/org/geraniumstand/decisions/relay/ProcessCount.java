package org.geraniumstand.decisions.relay;

import java.util.Collection;
import java.util.OptionalLong;
import java.util.Set;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Timestamp;

/** Counts the processes that share limits. Not thread-safe. */
@Decision(
        name = "process-count",
        summary = "The rate limits of servers are shared by the highest number of "
                + "processes that were live at once within the last minute, and the "
                + "slack of the retry budget by that of the last ten minutes, because "
                + "a process without contact to its peers may still send; quotas "
                + "by that of the last half minute.")
public final class ProcessCount {
    /** Milliseconds for which the processes registered in the store count as live; their leases last 12,000 ms. */
    private static final long LISTED_MILLIS = 15_000;

    /**
     * Milliseconds for which processes without contact still count. They may be behind a network partition, which
     * usually lasts about ten seconds, and continue to send to the servers that they know.
     */
    private static final long PEAK_WINDOW_MILLIS = 60_000;

    /**
     * Milliseconds for which processes without contact still share fixed allowances, which a process that is cut off
     * keeps using.
     */
    private static final long SHARING_WINDOW_MILLIS = 600_000;

    /**
     * Milliseconds for which processes without contact still count as users of quotas. It is longer than most network
     * partitions, and bounds how long a team gets less than its quota after processes have ended for good.
     */
    private static final long QUOTA_WINDOW_MILLIS = 30_000;

    /** Milliseconds within which all processes learn of one that has started. */
    private static final long DISCOVERY_MILLIS = 5_000;

    private long runningSinceNanos;
    private OptionalLong activeNanos = OptionalLong.empty();
    private int live = 1;
    private int listed = 1;
    private long listedNanos;
    private final Peak senders;
    private final Peak sharers;
    private final Peak quotaUsers;
    private boolean otherSeen;

    /** The highest number of processes that were live at once. */
    private static final class Peak {
        private final long windowNanos;
        private int count;
        private long reachedNanos;

        Peak(long windowMillis, int assumed, long nowNanos) {
            this.windowNanos = windowMillis * Timestamp.NANOS_PER_MILLI;
            this.count = Math.max(1, assumed);
            this.reachedNanos = nowNanos;
        }

        void update(int live, long nowNanos) {
            if (live >= count || nowNanos - reachedNanos >= windowNanos) {
                count = live;
                reachedNanos = nowNanos;
            }
        }
    }

    /**
     * Creates a count for a process that has no contact to any other.
     *
     * @param assumed number of processes to assume until contact with another one
     * @param nowNanos the monotonic time in nanoseconds
     */
    public ProcessCount(int assumed, long nowNanos) {
        this.runningSinceNanos = nowNanos;
        this.senders = new Peak(PEAK_WINDOW_MILLIS, assumed, nowNanos);
        this.sharers = new Peak(SHARING_WINDOW_MILLIS, assumed, nowNanos);
        this.quotaUsers = new Peak(QUOTA_WINDOW_MILLIS, 1, nowNanos);
        this.listedNanos = nowNanos;
    }

    /**
     * Records that this process is running. Called several times a second; a longer interruption counts as a start,
     * because the process may have missed that others started.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onActive(long nowNanos) {
        if (isInterrupted(nowNanos)) {
            runningSinceNanos = nowNanos;
        }
        activeNanos = OptionalLong.of(nowNanos);
    }

    private boolean isInterrupted(long nowNanos) {
        return activeNanos.isPresent()
                && nowNanos - activeNanos.getAsLong() > DISCOVERY_MILLIS * Timestamp.NANOS_PER_MILLI;
    }

    /**
     * Records how many processes are live according to the membership protocol.
     *
     * @param count number of live processes, including this one
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onLive(int count, long nowNanos) {
        updatePeak(nowNanos);
        live = Math.max(1, count);
        dropAssumption(count);
        updatePeak(nowNanos);
    }

    /**
     * Records where the processes that are live according to the membership protocol listen. A process that was killed counts
     * as live for some seconds; if another one listens at its address, it has been replaced.
     *
     * @param endpoints address and port of each live process, including this one
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onLiveAt(Collection<String> endpoints, long nowNanos) {
        onLive(Set.copyOf(endpoints).size(), nowNanos);
    }

    /**
     * Records how many processes are registered in the store; a starting process makes contact with some of them only
     * after several seconds.
     *
     * @param count number of registered processes, including those that ended recently
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onRegistered(int count, long nowNanos) {
        listed = Math.max(1, count);
        listedNanos = nowNanos;
        dropAssumption(count);
        updatePeak(nowNanos);
    }

    /**
     * Records where the processes registered in the store listen. The entry of a process that was killed stays for some
     * seconds; if another one is listed at its address, it has been replaced.
     *
     * @param endpoints address and port of each registered process
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onRegisteredAt(Collection<String> endpoints, long nowNanos) {
        onRegistered(Set.copyOf(endpoints).size(), nowNanos);
    }

    private void dropAssumption(int count) {
        if (!otherSeen && count > 1) {
            otherSeen = true;
            senders.count = 0;
            sharers.count = 0;
        }
    }

    private void updatePeak(long nowNanos) {
        senders.update(live, nowNanos);
        sharers.update(live, nowNanos);
        quotaUsers.update(liveCount(nowNanos), nowNanos);
    }

    /** Returns the number of live processes, including those in the store if they were read recently. */
    int liveCount(long nowNanos) {
        boolean recent = nowNanos - listedNanos < LISTED_MILLIS * Timestamp.NANOS_PER_MILLI;
        return recent ? Math.max(live, listed) : live;
    }

    /**
     * Returns the fraction of a fixed allowance for each window of time that this process may use.
     *
     * <p>A process that has just started knows neither what its predecessor used nor how many processes share the
     * allowance. It has no share until what was used before its start no longer counts and the others know of it.
     *
     * @param windowMillis length of the window in milliseconds
     * @param nowNanos the monotonic time in nanoseconds
     */
    double allowanceShare(long windowMillis, long nowNanos) {
        boolean starting = nowNanos - runningSinceNanos < (windowMillis + DISCOVERY_MILLIS) * Timestamp.NANOS_PER_MILLI;
        if (starting || isInterrupted(nowNanos)) {
            return 0;
        }
        updatePeak(nowNanos);
        return 1.0 / Math.max(sharers.count, liveCount(nowNanos));
    }

    /** Returns the number of processes that may use quotas, including those without contact. */
    int quotaCount(long nowNanos) {
        updatePeak(nowNanos);
        return Math.max(quotaUsers.count, liveCount(nowNanos));
    }

    /** Returns the number of processes that may send to servers, including those without contact. */
    int senderCount(long nowNanos) {
        updatePeak(nowNanos);
        return Math.max(senders.count, liveCount(nowNanos));
    }
}
