package org.geraniumstand.decisions.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.time.Moment;

/** Paces what this process sends to cold servers. */
@Decision(
        name = "cold-pace",
        summary = "A cold server gets no more requests a second than it bears, split evenly over all processes.")
public final class ColdServerRateLimiter {
    /** Part of what a cold server bears that is used, as requests bunch up on their way. */
    private static final double USED_SHARE = 0.8;

    /**
     * The same where schedules are random and fall together by chance: five standard deviations stay within half more than it bears
     * and 5, which the users' platform allows.
     */
    private static final double RANDOMIZED_USED_SHARE = 0.65;

    /**
     * Milliseconds for which a process may use its schedule at a cold server. Turns that were kept longer would add up while calls
     * go elsewhere, and be used at once when the other servers are full. A call that waits looks every 10.
     */
    private static final long SEND_WINDOW_MILLIS = 250;

    /** Milliseconds without a look at a cold server after which it has been warm; a process with calls looks all the time. */
    private static final long IDLE_MILLIS = 1_000;

    private static final double NANOS_IN_SECOND = 1e9;
    private static final int MAX_SCHEDULES = 1_000;

    private final Map<ServerId, SendSchedule> schedules = new HashMap<>();
    private final Random random;

    /** When this process may send to a cold server next. */
    private static final class SendSchedule {
        private long nextSendNanos;
        private long lastCheckNanos;
    }

    /**
     * Creates a pace at which nothing was sent yet.
     *
     * @param random chooses when a process begins; each process has one of its own
     */
    public ColdServerRateLimiter(Random random) {
        this.random = random;
    }

    /**
     * Returns whether a request may go to a cold server now.
     *
     * <p>Where there are more processes than a cold server bears requests a second, each has schedules that begin at a random time, as
     * the first requests of all would be too many at once. A schedule that is not used passes, and the next one is drawn anew.
     *
     * @param server the server
     * @param perSecond requests a second that it bears from all processes
     * @param processes processes that may send to it
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

    /** Returns the schedule at a server, which for a new one was over long ago. */
    private SendSchedule schedule(ServerId server, long nowNanos) {
        evictIdle(nowNanos);
        return schedules.computeIfAbsent(server, _key -> {
            SendSchedule schedule = new SendSchedule();
            schedule.nextSendNanos = nowNanos - IDLE_MILLIS * Moment.NANOS_PER_MILLI;
            schedule.lastCheckNanos = nowNanos;
            return schedule;
        });
    }

    /** Returns whether a schedule was drawn while the server was cold this time, for so many processes, and is not over. */
    private static boolean isCurrent(SendSchedule schedule, double intervalNanos, long nowNanos) {
        return nowNanos - schedule.lastCheckNanos <= IDLE_MILLIS * Moment.NANOS_PER_MILLI
                && nowNanos - schedule.nextSendNanos <= SEND_WINDOW_MILLIS * Moment.NANOS_PER_MILLI
                && schedule.nextSendNanos - nowNanos <= intervalNanos;
    }

    /**
     * Counts a request that goes to a cold server.
     *
     * @param server the server
     * @param perSecond requests a second that it bears from all processes
     * @param processes processes that may send to it
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
            schedules.values().removeIf(schedule -> nowNanos - schedule.lastCheckNanos > IDLE_MILLIS * Moment.NANOS_PER_MILLI);
        }
    }
}
