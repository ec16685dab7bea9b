package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.geraniumstand.model.relay.CallKind;
import org.junit.jupiter.api.Test;

final class WaitingCallsTest {
    private final WaitingCalls line = new WaitingCalls();

    private List<Long> offered() {
        List<Long> numbers = new ArrayList<>();
        line.offerWhile(0, () -> true, call -> numbers.add(call.number()));
        return numbers;
    }

    @Test
    void offersTheHigherRankFirst() {
        line.add(Calls.call(1, Calls.route(CallKind.SAFE, false, 1, 2)));
        line.add(Calls.call(2, Calls.route(CallKind.SAFE, false, 1, 0)));

        assertThat(offered(), contains(2L, 1L));
    }

    @Test
    void offersTheOneThatIsDueFirstWithinARank() {
        line.add(Calls.call(5, Calls.route(CallKind.SAFE, false, 1, 0)));
        line.add(Calls.call(3, Calls.route(CallKind.SAFE, false, 1, 0)));

        assertThat(offered(), contains(3L, 5L));
    }

    @Test
    void keepsWhatIsNotTaken() {
        line.add(Calls.call(1, Calls.route(CallKind.SAFE, false, 1, 0)));
        line.offerWhile(0, () -> true, _call -> false);

        assertThat(line.size(), is(1));
    }

    @Test
    void offersNoneOnceNoneIsWanted() {
        line.add(Calls.call(1, Calls.route(CallKind.SAFE, false, 1, 0)));
        line.add(Calls.call(2, Calls.route(CallKind.SAFE, false, 1, 0)));
        List<Long> numbers = new ArrayList<>();
        line.offerWhile(0, numbers::isEmpty, call -> numbers.add(call.number()));

        assertThat(numbers, contains(1L));
        assertThat(line.size(), is(1));
    }

    /** All servers were lost for longer than the target; those that came meanwhile can still be on time. */
    @Test
    void offersLateCallsAfterThoseThatCanBeOnTime() {
        RelayCall late = Calls.call(1, Calls.route(CallKind.SAFE, false, 1, 0));
        RelayCall fresh = Calls.call(601, Calls.route(CallKind.SAFE, false, 1, 2));
        long lateNanos = fresh.arrivedNanos();
        line.add(late);
        line.add(fresh);
        List<Long> numbers = new ArrayList<>();
        line.offerWhile(lateNanos, () -> true, call -> numbers.add(call.number()));

        assertThat(numbers, contains(601L, 1L));
    }
}
