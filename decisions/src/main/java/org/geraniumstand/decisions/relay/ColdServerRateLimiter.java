package org.geraniumstand.decisions.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.time.Timestamp;

/** Limits the rate at which this process sends requests to cold servers. */
@Decision(
        name = "cold-pace",
        summary = "The rate of requests to a cold server stays within the "
                + "limit of its service, split evenly over all processes.")
public final class ColdServerRateLimiter {
    /** Fraction of a cold server's rate limit that is used, because requests bunch up on their way to the server. */
    private static final double USED_SHARE = 0.8;

    /**
     * Fraction of the rate limit that is used where send times are random and may coincide. Five standard deviations
     * above the mean stay within one and a half times the limit plus 5, which the platform allows.
     */
    private static final double RANDOMIZED_USED_SHARE = 0.65;

    /**
     * Milliseconds for which an unused send time stays valid. With a longer window, send times would accumulate while
     * calls are sent to other servers and would all be used at once when the other servers become full. A waiting call
     * checks every 10 ms.
     */
    private static final long SEND_WINDOW_MILLIS = 250;

    /**
     * Milliseconds without a check after which the server is assumed to have been warm in between; a process with
     * traffic checks a cold server continuously.
     */
    private static final long IDLE_MILLIS = 1_000;

    private static final double NANOS_IN_SECOND = 1e9;
    private static final int MAX_SCHEDULES = 1_000;

    private final Map<ServerId, SendSchedule> schedules = new HashMap<>();
    private final Random random;

    /** Holds the next time at which this process may send to a cold server. */
    private static final class SendSchedule {
        private long nextSendNanos;
        private long lastCheckNanos;
    }

    /**
     * Creates a rate limiter that has sent nothing.
     *
     * @param random source of the random send times; each process needs a different sequence
     */
    public ColdServerRateLimiter(Random random) {
        this.random = random;
    }

    /**
     * Returns whether a request may be sent to a cold server now.
     *
     * <p>If there are more processes than a cold server accepts requests per second, each process draws a random send
     * time, because the first requests of all processes together would exceed the limit. A send time that is not used
     * expires, and the next one is drawn at random.
     *
     * @param server the cold server to send to
     * @param perSecond requests per second that the server accepts from all processes together
     * @param processes number of processes that may send to the server
     * @param nowNanos the monotonic time in nanoseconds
     */
    public boolean allows(ServerId server, double perSecond, int processes, long nowNanos) {
        SendSchedule schedule = schedule(server, nowNanos);
        if (isRandomized(perSecond, processes) && !isCurrent(schedule, intervalNanos(perSecond, processes), nowNanos)) {
            schedule.nextSendNanos = nowNanos + (long) (random.nextDouble() * intervalNanos(perSecond, processes));
        }
        schedule.lastCheckNanos = nowNanos;
        return nowNanos - schedule.nextSendNanos >= 0;
    }

    /** Returns the send schedule of a server. The schedule of a new server starts with an expired send time. */
    private SendSchedule schedule(ServerId server, long nowNanos) {
        evictIdle(nowNanos);
        return schedules.computeIfAbsent(server, _key -> {
            SendSchedule schedule = new SendSchedule();
            schedule.nextSendNanos = nowNanos - IDLE_MILLIS * Timestamp.NANOS_PER_MILLI;
            schedule.lastCheckNanos = nowNanos;
            return schedule;
        });
    }

    /**
     * Returns whether the send time of a schedule belongs to the current cold phase, fits the number of processes and
     * has not expired.
     */
    private static boolean isCurrent(SendSchedule schedule, double intervalNanos, long nowNanos) {
        return nowNanos - schedule.lastCheckNanos <= IDLE_MILLIS * Timestamp.NANOS_PER_MILLI
                && nowNanos - schedule.nextSendNanos <= SEND_WINDOW_MILLIS * Timestamp.NANOS_PER_MILLI
                && schedule.nextSendNanos - nowNanos <= intervalNanos;
    }

    /**
     * Records that a request is sent to a cold server.
     *
     * @param server the cold server that the request is sent to
     * @param perSecond requests per second that the server accepts from all processes together
     * @param processes number of processes that may send to the server
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onSent(ServerId server, double perSecond, int processes, long nowNanos) {
        SendSchedule schedule = schedule(server, nowNanos);
        schedule.nextSendNanos = nowNanos + Math.round(intervalNanos(perSecond, processes));
        schedule.lastCheckNanos = nowNanos;
    }

    private static boolean isRandomized(double perSecond, int processes) {
        return processes > perSecond * USED_SHARE;
    }

    private static double intervalNanos(double perSecond, int processes) {
        double used = isRandomized(perSecond, processes) ? RANDOMIZED_USED_SHARE : USED_SHARE;
        double share = perSecond * used / Math.max(1, processes);
        return NANOS_IN_SECOND / Math.max(share, 1e-3);
    }

    private void evictIdle(long nowNanos) {
        if (schedules.size() > MAX_SCHEDULES) {
            schedules
                    .values()
                    .removeIf(schedule -> nowNanos - schedule.lastCheckNanos > IDLE_MILLIS * Timestamp.NANOS_PER_MILLI);
        }
    }
}
