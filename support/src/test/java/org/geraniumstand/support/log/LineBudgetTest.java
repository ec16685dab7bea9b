package org.geraniumstand.support.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import org.junit.jupiter.api.Test;

final class LineBudgetTest {
    private final LineBudget budget = new LineBudget();

    private void spend(String event, int lines, long atMillis) {
        for (int i = 0; i < lines; i++) {
            budget.allows(event, atMillis);
        }
    }

    @Test
    void allowsAnEventItsLines() {
        spend("a", LineBudget.LINES_PER_SECOND - 1, 1_000);

        assertThat(budget.allows("a", 1_999), is(true));
    }

    @Test
    void leavesOutWhatIsBeyondAndCountsIt() {
        spend("a", LineBudget.LINES_PER_SECOND + 5, 1_000);

        assertThat(budget.allows("a", 1_000), is(false));
        assertThat(budget.takeLeftOut(), is(Map.of("a", 6)));
        assertThat(budget.takeLeftOut(), is(Map.of()));
    }

    @Test
    void givesEachEventABudgetOfItsOwn() {
        spend("a", LineBudget.LINES_PER_SECOND, 1_000);

        assertThat(budget.allows("b", 1_000), is(true));
    }

    @Test
    void startsAnewEachSecond() {
        spend("a", LineBudget.LINES_PER_SECOND, 1_000);

        assertThat(budget.allows("a", 2_000), is(true));
    }
}
