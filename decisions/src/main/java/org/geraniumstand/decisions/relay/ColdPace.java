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
public final class ColdPace {
    /** Part of what a cold server bears that is used, as requests bunch up on their way. */
    private static final double USED_SHARE = 0.8;

    /**
     * The same where turns are random and fall together by chance: five standard deviations stay within half more than it bears
     * and 5, which the users' platform allows.
     */
    private static final double RANDOM_SHARE = 0.65;

    /**
     * Milliseconds for which a process may use its turn at a cold server. Turns that were kept longer would add up while calls
     * go elsewhere, and be used at once when the other servers are full. A call that waits looks every 10.
     */
    private static final long TURN_MILLIS = 250;

    /** Milliseconds without a look at a cold server after which it has been warm; a process with calls looks all the time. */
    private static final long APART_MILLIS = 1_000;

    private static final double NANOS_IN_SECOND = 1e9;
    private static final int KEPT_AT_MOST = 1_000;

    private final Map<ServerId, Turn> turns = new HashMap<>();
    private final Random random;

    /** When this process may send to a cold server next. */
    private static final class Turn {
        private long atNanos;
        private long lookedNanos;
    }

    /**
     * Creates a pace at which nothing was sent yet.
     *
     * @param random chooses when a process begins; each process has one of its own
     */
    public ColdPace(Random random) {
        this.random = random;
    }

    /**
     * Returns whether a request may go to a cold server now.
     *
     * <p>Where there are more processes than a cold server bears requests a second, each has turns that begin at a random time, as
     * the first requests of all would be too many at once. A turn that is not used passes, and the next one is drawn anew.
     *
     * @param server the server
     * @param perSecond requests a second that it bears from all processes
     * @param processes processes that may send to it
     * @param nowNanos the monotonic time in nanoseconds
     */
    public boolean allows(ServerId server, double perSecond, int processes, long nowNanos) {
        Turn turn = turn(server, nowNanos);
        if (isRandom(perSecond, processes) && !isCurrent(turn, intervalNanos(perSecond, processes), nowNanos)) {
            turn.atNanos = nowNanos + (long) (random.nextDouble() * intervalNanos(perSecond, processes));
        }
        turn.lookedNanos = nowNanos;
        return nowNanos - turn.atNanos >= 0;
    }

    /** Returns the turn at a server, which for a new one was over long ago. */
    private Turn turn(ServerId server, long nowNanos) {
        forgetOld(nowNanos);
        return turns.computeIfAbsent(server, _key -> {
            Turn turn = new Turn();
            turn.atNanos = nowNanos - APART_MILLIS * Moment.NANOS_PER_MILLI;
            turn.lookedNanos = nowNanos;
            return turn;
        });
    }

    /** Returns whether a turn was drawn while the server was cold this time, for so many processes, and is not over. */
    private static boolean isCurrent(Turn turn, double intervalNanos, long nowNanos) {
        return nowNanos - turn.lookedNanos <= APART_MILLIS * Moment.NANOS_PER_MILLI
                && nowNanos - turn.atNanos <= TURN_MILLIS * Moment.NANOS_PER_MILLI
                && turn.atNanos - nowNanos <= intervalNanos;
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
        Turn turn = turn(server, nowNanos);
        turn.atNanos = nowNanos + Math.round(intervalNanos(perSecond, processes));
        turn.lookedNanos = nowNanos;
    }

    private static boolean isRandom(double perSecond, int processes) {
        return processes > perSecond * USED_SHARE;
    }

    private static double intervalNanos(double perSecond, int processes) {
        double used = isRandom(perSecond, processes) ? RANDOM_SHARE : USED_SHARE;
        double share = perSecond * used / Math.max(1, processes);
        return NANOS_IN_SECOND / Math.max(share, 1e-3);
    }

    private void forgetOld(long nowNanos) {
        if (turns.size() > KEPT_AT_MOST) {
            turns.values().removeIf(turn -> nowNanos - turn.lookedNanos > APART_MILLIS * Moment.NANOS_PER_MILLI);
        }
    }
}
