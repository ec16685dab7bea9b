package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Timestamp;

/** Holds the calls of a service that wait for a server, ordered by priority and target time. */
@Decision(
        name = "waiting-order",
        summary = "Queued calls that can still be on time are dispatched before "
                + "late ones, each group by priority and then by target time.")
public final class CallQueue {
    private final TreeSet<RelayCall> calls = new TreeSet<>(Comparator.comparingInt(RelayCall::priority)
            .thenComparingLong(CallQueue::targetNanos)
            .thenComparingLong(RelayCall::number));

    /** Creates an empty queue. */
    public CallQueue() {}

    private static long targetNanos(RelayCall call) {
        return call.arrivedNanos() + call.route().targetMillis() * Timestamp.NANOS_PER_MILLI;
    }

    /**
     * Adds a call.
     *
     * @param call the call to add
     */
    public void add(RelayCall call) {
        calls.add(call);
    }

    /**
     * Removes a call.
     *
     * @param call the call to remove
     */
    public void remove(RelayCall call) {
        calls.remove(call);
    }

    /** Returns the number of queued calls. */
    public int size() {
        return calls.size();
    }

    /**
     * Offers the calls to a dispatcher in order and removes those that it accepts.
     *
     * <p>If capacity is insufficient, dispatching strictly by target time would make every call slightly late. A late
     * answer is worth little to its caller, so calls that can still be on time get the slots first.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @param keepGoing whether to offer another call; evaluated before each
     * @param dispatcher returns whether it accepts a call
     */
    public void dispatchWhile(long nowNanos, BooleanSupplier keepGoing, Predicate<RelayCall> dispatcher) {
        dispatchMatching(call -> !isLate(call, nowNanos), keepGoing, dispatcher);
        dispatchMatching(call -> isLate(call, nowNanos), keepGoing, dispatcher);
    }

    private static boolean isLate(RelayCall call, long nowNanos) {
        return nowNanos - targetNanos(call) >= 0;
    }

    private void dispatchMatching(
            Predicate<RelayCall> filter, BooleanSupplier keepGoing, Predicate<RelayCall> dispatcher) {
        Iterator<RelayCall> iterator = calls.iterator();
        while (keepGoing.getAsBoolean() && iterator.hasNext()) {
            RelayCall call = iterator.next();
            if (filter.test(call) && dispatcher.test(call)) {
                iterator.remove();
            }
        }
    }

    /**
     * Removes and returns the calls that match a condition.
     *
     * @param condition receives the number of calls ahead of each call, and the call
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

    /** Decides whether to remove a call. */
    @FunctionalInterface
    public interface Condition {
        /**
         * Returns whether to remove a call.
         *
         * @param ahead number of remaining calls that precede the call in the order of the queue
         * @param call the call to test
         */
        boolean test(int ahead, RelayCall call);
    }
}
