package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.WindowCounts;
import org.geraniumstand.model.relay.WindowTotal;
import org.junit.jupiter.api.Test;

final class UsageBookTest {
    private static final TeamId TEAM = new TeamId("shops");
    private static final ProcessId ONE = new ProcessId("one");
    private static final ProcessId TWO = new ProcessId("two");

    private final UsageBook book = new UsageBook(5_000);

    @Test
    void tellsCountsUntilTheyAreConfirmed() {
        book.onBegan(TEAM, 4_999);
        book.onBegan(TEAM, 5_000);
        assertThat(
                book.unconfirmed(ONE),
                contains(new WindowCounts(0, Map.of(TEAM, 1L)), new WindowCounts(1, Map.of(TEAM, 1L))));
        book.onConfirmed(ONE, List.of(new WindowTotal(0, 1), new WindowTotal(1, 1)));
        assertThat(book.unconfirmed(ONE), empty());
        book.onBegan(TEAM, 5_001);

        assertThat(book.unconfirmed(ONE), contains(new WindowCounts(1, Map.of(TEAM, 2L))));
    }

    @Test
    void tellsAProcessThatIsNewToTheTaskAll() {
        book.onBegan(TEAM, 0);
        book.onConfirmed(ONE, List.of(new WindowTotal(0, 1)));

        assertThat(book.unconfirmed(TWO), contains(new WindowCounts(0, Map.of(TEAM, 1L))));
    }

    /** A process that is cut off from all others has to write its counts itself. */
    @Test
    void namesCountsOfEndedWindowsThatNobodyHas() {
        book.onBegan(TEAM, 0);
        book.onBegan(TEAM, 0);
        book.onConfirmed(ONE, List.of(new WindowTotal(0, 1)));
        assertThat(book.unknownBefore(0), empty());
        assertThat(book.unknownBefore(1), contains(new WindowCounts(0, Map.of(TEAM, 2L))));
        book.onConfirmed(TWO, List.of(new WindowTotal(0, 2)));

        assertThat(book.unknownBefore(1), empty());
    }

    @Test
    void forgetsWindowsThatAreNoLongerDue() {
        book.onBegan(TEAM, 0);
        book.onBegan(TEAM, 10_000);
        book.forgetBefore(1);

        assertThat(book.unconfirmed(ONE).stream().map(WindowCounts::window).toList(), is(List.of(2L)));
    }
}
