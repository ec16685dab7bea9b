package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Moment;

/** The calls of a service that wait for a server. */
@Decision(
        name = "waiting-order",
        summary =
                "Waiting calls that can still be on time go out before those that are late, by rank, and those of a rank by"
                        + " the time at which they are due.")
public final class WaitingCalls {
    private final TreeSet<RelayCall> calls = new TreeSet<>(Comparator.comparingInt(RelayCall::priority)
            .thenComparingLong(WaitingCalls::dueNanos)
            .thenComparingLong(RelayCall::number));

    /** Creates an empty line. */
    public WaitingCalls() {}

    private static long dueNanos(RelayCall call) {
        return call.arrivedNanos() + call.route().targetMillis() * Moment.NANOS_PER_MILLI;
    }

    /**
     * Adds a call.
     *
     * @param call the call
     */
    public void add(RelayCall call) {
        calls.add(call);
    }

    /**
     * Removes a call.
     *
     * @param call the call
     */
    public void remove(RelayCall call) {
        calls.remove(call);
    }

    /** Returns the number of calls that wait. */
    public int size() {
        return calls.size();
    }

    /**
     * Offers the calls in order and removes those that are taken.
     *
     * <p>Where there is no room for all, first come by due time makes each call a little late; a late one is worth little to its
     * caller, so the places go to those that still gain by them.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @param more tells whether another call is to be offered; asked before each
     * @param taker tells whether it takes a call
     */
    public void offerWhile(long nowNanos, BooleanSupplier more, Predicate<RelayCall> taker) {
        offer(call -> !late(call, nowNanos), more, taker);
        offer(call -> late(call, nowNanos), more, taker);
    }

    private static boolean late(RelayCall call, long nowNanos) {
        return nowNanos - dueNanos(call) >= 0;
    }

    private void offer(Predicate<RelayCall> which, BooleanSupplier more, Predicate<RelayCall> taker) {
        Iterator<RelayCall> all = calls.iterator();
        while (more.getAsBoolean() && all.hasNext()) {
            RelayCall call = all.next();
            if (which.test(call) && taker.test(call)) {
                all.remove();
            }
        }
    }

    /**
     * Removes and returns the calls that fulfil a condition.
     *
     * @param condition told how many calls go out before each, and the call
     */
    public List<RelayCall> removeIf(Condition condition) {
        List<RelayCall> removed = new ArrayList<>();
        int ahead = 0;
        Iterator<RelayCall> all = calls.iterator();
        while (all.hasNext()) {
            RelayCall call = all.next();
            if (condition.test(ahead, call)) {
                removed.add(call);
                all.remove();
            } else {
                ahead++;
            }
        }
        return removed;
    }

    /** Tells whether a call is to be removed. */
    @FunctionalInterface
    public interface Condition {
        /**
         * Returns whether a call is to be removed.
         *
         * @param ahead calls of its rank or a higher one that are due before it and stay
         * @param call the call
         */
        boolean test(int ahead, RelayCall call);
    }
}
