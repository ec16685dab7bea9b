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
        line.offer(call -> numbers.add(call.number()));
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
        line.offer(_call -> false);

        assertThat(line.size(), is(1));
    }
}
