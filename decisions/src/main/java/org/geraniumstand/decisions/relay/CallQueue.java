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
public final class CallQueue {
    private final TreeSet<RelayCall> calls = new TreeSet<>(Comparator.comparingInt(RelayCall::priority)
            .thenComparingLong(CallQueue::targetNanos)
            .thenComparingLong(RelayCall::number));

    /** Creates an empty line. */
    public CallQueue() {}

    private static long targetNanos(RelayCall call) {
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
     * <p>Where there is no room for iterator, first come by due time makes each call a little late; a late one is worth little to its
     * caller, so the places go to those that still gain by them.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @param keepGoing tells whether another call is to be offered; asked before each
     * @param dispatcher tells whether it takes a call
     */
    public void dispatchWhile(long nowNanos, BooleanSupplier keepGoing, Predicate<RelayCall> dispatcher) {
        dispatchMatching(call -> !isLate(call, nowNanos), keepGoing, dispatcher);
        dispatchMatching(call -> isLate(call, nowNanos), keepGoing, dispatcher);
    }

    private static boolean isLate(RelayCall call, long nowNanos) {
        return nowNanos - targetNanos(call) >= 0;
    }

    private void dispatchMatching(Predicate<RelayCall> filter, BooleanSupplier keepGoing, Predicate<RelayCall> dispatcher) {
        Iterator<RelayCall> iterator = calls.iterator();
        while (keepGoing.getAsBoolean() && iterator.hasNext()) {
            RelayCall call = iterator.next();
            if (filter.test(call) && dispatcher.test(call)) {
                iterator.remove();
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
        Iterator<RelayCall> iterator = calls.iterator();
        while (iterator.hasNext()) {
            RelayCall call = iterator.next();
            if (condition.test(ahead, call)) {
                removed.add(call);
                iterator.remove();
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
