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
    private static List<String> closed(boolean memoryShort, List<Stalled<String>> stalled) {
        return CallerPace.toClose(stalled, memoryShort).stream()
                .map(Stalled::caller)
                .toList();
    }

    @Test
    void leavesCallersALongTimeInCalm() {
        assertThat(closed(false, List.of(new Stalled<>("a", 14_999, 0), new Stalled<>("b", 15_000, 0))), contains("b"));
    }

    @Test
    void closesAsManyAsCallsWaitTheLongestFirst() {
        List<Stalled<String>> stalled =
                List.of(new Stalled<>("a", 2_500, 2), new Stalled<>("b", 3_500, 2), new Stalled<>("c", 3_000, 2));

        assertThat(closed(false, stalled), contains("b", "c"));
    }

    @Test
    void closesNobodyThatTookSomethingAMomentAgo() {
        assertThat(closed(true, List.of(new Stalled<>("a", 1_999, 100))), is(empty()));
    }

    @Test
    void sparesCallersWhosePlaceNobodyNeeds() {
        List<Stalled<String>> stalled = List.of(new Stalled<>("done", 9_000, 0), new Stalled<>("a", 3_000, 1));

        assertThat(closed(false, stalled), contains("a"));
    }

    @Test
    void closesAPartOfThemWhileMemoryIsShort() {
        assertThat(closed(true, List.of(new Stalled<>("a", 2_500, 0), new Stalled<>("b", 3_500, 0))), contains("b"));
        assertThat(closed(true, Collections.nCopies(100, new Stalled<>("a", 2_500, 0))), hasSize(25));
        assertThat(closed(true, List.of()), is(empty()));
    }
}
