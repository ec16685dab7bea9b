package org.geraniumstand.decisions.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.time.Timestamp;

/** Limits the rate at which this process sends requests to servers that accept a limited rate from all processes. */
@Decision(
        name = "shared-rate",
        summary = "The rate of requests to a cold server or to one that has named a limit stays within that limit: "
                + "each process uses the share that an aggregator granted, or else an even share.")
public final class SharedServerRate {
    /** Fraction of a server's limit that is used, because requests bunch up on their way to the server. */
    private static final double USED_SHARE = 0.8;

    /** Fraction of a limit that is used where the platform allows bunches of several seconds. */
    private static final double GRANTED_USED_SHARE = 0.9;

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
     * Milliseconds without a check after which the server is assumed to have been unlimited in between; a process with
     * traffic checks a limited server continuously.
     */
    private static final long IDLE_MILLIS = 1_000;

    private static final double NANOS_IN_SECOND = 1e9;
    /** Lowest rate of a process, in requests per second, so that the time between two requests has a bound. */
    private static final double MIN_PER_SECOND = 1e-4;

    private static final int MAX_SCHEDULES = 1_000;

    private final Map<ServerId, SendSchedule> schedules = new HashMap<>();
    private final Random random;
    private final RateGrants grants;

    /** Holds the next time at which this process may send to a server. */
    private static final class SendSchedule {
        private long nextSendNanos;
        private long lastCheckNanos;
    }

    /**
     * Creates a rate that has sent nothing.
     *
     * @param random source of the random send times; each process needs a different sequence
     */
    public SharedServerRate(Random random) {
        this.random = random;
        this.grants = new RateGrants(random, GRANTED_USED_SHARE);
    }

    /** Returns the shares that the aggregators granted to this process. */
    RateGrants grants() {
        return grants;
    }

    /**
     * Returns whether a request may be sent to a server now.
     *
     * <p>If there is no grant and there are more processes than the server accepts requests per second, each process draws
     * a random send time, because the first requests of all processes together would exceed the limit. A send time that
     * is not used expires, and the next one is drawn at random.
     *
     * @param server the server to send to
     * @param limit requests that the server accepts from all processes together
     * @param nowNanos the monotonic time in nanoseconds
     */
    boolean allows(ServerId server, SharedLimit limit, long nowNanos) {
        if (isGranted(server, limit, nowNanos)) {
            return grants.waitMillis(server, limit.perSecond(), nowNanos) == 0;
        }
        return untilNextSendNanos(server, limit, nowNanos) <= 0;
    }

    /** Returns the time until the next send time of an even share in nanoseconds, not positive if it has come. */
    private long untilNextSendNanos(ServerId server, SharedLimit limit, long nowNanos) {
        SendSchedule schedule = schedule(server, nowNanos);
        double intervalNanos = intervalNanos(limit);
        if (isRandomized(limit) && !isCurrent(schedule, intervalNanos, nowNanos)) {
            schedule.nextSendNanos = nowNanos + (long) (random.nextDouble() * intervalNanos);
        }
        schedule.lastCheckNanos = nowNanos;
        return schedule.nextSendNanos - nowNanos;
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
     * Returns whether the send time of a schedule belongs to the current phase of the server, fits the number of
     * processes and has not expired.
     */
    private static boolean isCurrent(SendSchedule schedule, double intervalNanos, long nowNanos) {
        return nowNanos - schedule.lastCheckNanos <= IDLE_MILLIS * Timestamp.NANOS_PER_MILLI
                && nowNanos - schedule.nextSendNanos <= SEND_WINDOW_MILLIS * Timestamp.NANOS_PER_MILLI
                && schedule.nextSendNanos - nowNanos <= intervalNanos;
    }

    /**
     * Records that a request is sent to a server.
     *
     * @param server the server that the request is sent to
     * @param limit requests that the server accepts from all processes together
     * @param nowNanos the monotonic time in nanoseconds
     */
    void onSent(ServerId server, SharedLimit limit, long nowNanos) {
        if (isGranted(server, limit, nowNanos)) {
            grants.onSent(server, limit.perSecond(), nowNanos);
            return;
        }
        SendSchedule schedule = schedule(server, nowNanos);
        schedule.nextSendNanos = nowNanos + Math.round(intervalNanos(limit));
        schedule.lastCheckNanos = nowNanos;
    }

    /**
     * Returns the time until this process may send the next request to a server, in milliseconds; empty if it has no
     * share of the server's limit.
     *
     * @param server the server to send to
     * @param limit requests that the server accepts from all processes together
     * @param nowNanos the monotonic time in nanoseconds
     */
    OptionalLong waitMillis(ServerId server, SharedLimit limit, long nowNanos) {
        if (!isGranted(server, limit, nowNanos)) {
            long nanos = Math.max(0, untilNextSendNanos(server, limit, nowNanos));
            return OptionalLong.of((nanos + Timestamp.NANOS_PER_MILLI - 1) / Timestamp.NANOS_PER_MILLI);
        }
        return grants.share(server, nowNanos).orElse(0) > 0
                ? OptionalLong.of(grants.waitMillis(server, limit.perSecond(), nowNanos))
                : OptionalLong.empty();
    }

    /**
     * Returns the requests per second that this process may send to a server.
     *
     * @param server the server to send to
     * @param limit requests that the server accepts from all processes together
     * @param nowNanos the monotonic time in nanoseconds
     */
    double ownPerSecond(ServerId server, SharedLimit limit, long nowNanos) {
        return isGranted(server, limit, nowNanos)
                ? limit.perSecond()
                        * GRANTED_USED_SHARE
                        * grants.share(server, nowNanos).orElse(0)
                : NANOS_IN_SECOND / intervalNanos(limit);
    }

    private boolean isGranted(ServerId server, SharedLimit limit, long nowNanos) {
        return limit.named() && grants.share(server, nowNanos).isPresent();
    }

    private static boolean isRandomized(SharedLimit limit) {
        return limit.processes() > limit.perSecond() * USED_SHARE;
    }

    private static double intervalNanos(SharedLimit limit) {
        double used = isRandomized(limit) ? RANDOMIZED_USED_SHARE : USED_SHARE;
        double share = limit.perSecond() * used / Math.max(1, limit.processes());
        return NANOS_IN_SECOND / Math.max(share, MIN_PER_SECOND);
    }

    private void evictIdle(long nowNanos) {
        if (schedules.size() > MAX_SCHEDULES) {
            schedules
                    .values()
                    .removeIf(schedule -> nowNanos - schedule.lastCheckNanos > IDLE_MILLIS * Timestamp.NANOS_PER_MILLI);
        }
    }
}
