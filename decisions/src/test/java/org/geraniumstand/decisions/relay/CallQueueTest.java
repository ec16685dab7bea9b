package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.geraniumstand.model.relay.CallKind;
import org.junit.jupiter.api.Test;

final class CallQueueTest {
    private final CallQueue queue = new CallQueue();

    private List<Long> dispatched() {
        List<Long> numbers = new ArrayList<>();
        queue.dispatchWhile(0, () -> true, call -> numbers.add(call.number()));
        return numbers;
    }

    @Test
    void dispatchesHigherPriorityFirst() {
        queue.add(Calls.call(1, Calls.route(CallKind.SAFE, false, 1, 2)));
        queue.add(Calls.call(2, Calls.route(CallKind.SAFE, false, 1, 0)));

        assertThat(dispatched(), contains(2L, 1L));
    }

    @Test
    void dispatchesEarlierTargetFirstWithinPriority() {
        queue.add(Calls.call(5, Calls.route(CallKind.SAFE, false, 1, 0)));
        queue.add(Calls.call(3, Calls.route(CallKind.SAFE, false, 1, 0)));

        assertThat(dispatched(), contains(3L, 5L));
    }

    @Test
    void keepsCallsNotAccepted() {
        queue.add(Calls.call(1, Calls.route(CallKind.SAFE, false, 1, 0)));
        queue.dispatchWhile(0, () -> true, _call -> false);

        assertThat(queue.size(), is(1));
    }

    @Test
    void stopsDispatchingWhenConditionFails() {
        queue.add(Calls.call(1, Calls.route(CallKind.SAFE, false, 1, 0)));
        queue.add(Calls.call(2, Calls.route(CallKind.SAFE, false, 1, 0)));
        List<Long> numbers = new ArrayList<>();
        queue.dispatchWhile(0, numbers::isEmpty, call -> numbers.add(call.number()));

        assertThat(numbers, contains(1L));
        assertThat(queue.size(), is(1));
    }

    /** All servers were lost for longer than the target; calls that arrived in the meantime can still be on time. */
    @Test
    void dispatchesLateCallsLast() {
        RelayCall late = Calls.call(1, Calls.route(CallKind.SAFE, false, 1, 0));
        RelayCall onTime = Calls.call(601, Calls.route(CallKind.SAFE, false, 1, 2));
        long lateNanos = onTime.arrivedNanos();
        queue.add(late);
        queue.add(onTime);
        List<Long> numbers = new ArrayList<>();
        queue.dispatchWhile(lateNanos, () -> true, call -> numbers.add(call.number()));

        assertThat(numbers, contains(601L, 1L));
    }
}
