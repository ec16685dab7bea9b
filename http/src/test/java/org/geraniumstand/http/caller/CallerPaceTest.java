package org.geraniumstand.http.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.Collections;
import java.util.List;
import org.geraniumstand.http.caller.CallerPace.Stalled;
import org.junit.jupiter.api.Test;

final class CallerPaceTest {
    private static Stalled<String> stalled(String caller, long millis, int waiting) {
        return new Stalled<>(caller, millis, waiting, 0);
    }

    private static List<String> closed(boolean memoryShort, List<Stalled<String>> stalled) {
        return CallerPace.toClose(stalled, memoryShort).stream()
                .map(Stalled::caller)
                .toList();
    }

    @Test
    void leavesCallersALongTimeInCalm() {
        assertThat(closed(false, List.of(stalled("a", 29_999, 0), stalled("b", 30_000, 0))), contains("b"));
    }

    @Test
    void closesAsManyAsCallsWaitTheLongestFirst() {
        List<Stalled<String>> stalled = List.of(stalled("a", 5_500, 2), stalled("b", 6_500, 2), stalled("c", 6_000, 2));

        assertThat(closed(false, stalled), contains("b", "c"));
    }

    @Test
    void closesNobodyThatTookSomethingAMomentAgo() {
        assertThat(closed(true, List.of(stalled("a", 4_999, 100))), is(empty()));
    }

    @Test
    void sparesCallersWhosePlaceNobodyNeeds() {
        List<Stalled<String>> stalled = List.of(stalled("done", 9_000, 0), stalled("a", 6_000, 1));

        assertThat(closed(false, stalled), contains("a"));
    }

    @Test
    void closesAPartOfThemWhileMemoryIsShort() {
        assertThat(closed(true, List.of(stalled("a", 5_500, 0), stalled("b", 6_500, 0))), contains("b"));
        assertThat(closed(true, Collections.nCopies(100, stalled("a", 5_500, 0))), hasSize(25));
        assertThat(closed(true, List.of()), is(empty()));
    }

    @Test
    void leavesTimeToCallersThatGoOnNowAndThen() {
        List<Stalled<String>> stalled =
                List.of(new Stalled<>("steady", 11_999, 1, 4_000), new Stalled<>("a", 12_000, 1, 4_000));

        assertThat(closed(false, stalled), contains("a"));
    }
}
