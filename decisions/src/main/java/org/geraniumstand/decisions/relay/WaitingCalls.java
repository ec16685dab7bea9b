package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Moment;

/** The calls of a service that wait for a server. */
@Decision(
        name = "waiting-order",
        summary = "Waiting calls go out by rank, those of a rank by the time at which they are due on time.")
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
     * @param taker tells whether it takes a call
     */
    public void offer(Predicate<RelayCall> taker) {
        for (RelayCall call : List.copyOf(calls)) {
            if (taker.test(call)) {
                calls.remove(call);
            }
        }
    }

    /**
     * Removes and returns the calls that fulfil a condition.
     *
     * @param condition the condition
     */
    public List<RelayCall> removeIf(Predicate<RelayCall> condition) {
        List<RelayCall> removed = new ArrayList<>();
        calls.removeIf(call -> condition.test(call) && removed.add(call));
        return removed;
    }
}
