package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.WindowCounts;
import org.geraniumstand.model.relay.WindowTotal;
import org.junit.jupiter.api.Test;

final class RequestCountTableTest {
    private static final TeamId SHOPS = new TeamId("shops");
    private static final TeamId DEPOT = new TeamId("depot");
    private static final ProcessId ONE = new ProcessId("one");
    private static final ProcessId TWO = new ProcessId("two");

    private final RequestCountTable table = new RequestCountTable();

    private List<WindowTotal> report(ProcessId process, long window, Map<TeamId, Long> counts) {
        return table.onReport(process, List.of(new WindowCounts(window, counts)));
    }

    @Test
    void sumsCountsOfProcesses() {
        report(ONE, 7, Map.of(SHOPS, 3L));
        report(TWO, 7, Map.of(SHOPS, 2L, DEPOT, 1L));

        assertThat(table.sums(7), is(Map.of(SHOPS, 5L, DEPOT, 1L)));
    }

    /**
     * Counts arrive over two paths and out of order: from the process, and from a row that it wrote to the store
     * earlier.
     */
    @Test
    void countsRequestReportedTwiceOnce() {
        report(ONE, 7, Map.of(SHOPS, 3L));
        report(ONE, 7, Map.of(SHOPS, 2L));

        assertThat(table.sums(7), is(Map.of(SHOPS, 3L)));
    }

    @Test
    void returnsMergedTotal() {
        report(ONE, 7, Map.of(SHOPS, 3L));

        assertThat(report(ONE, 7, Map.of(DEPOT, 1L)), contains(new WindowTotal(7, 4)));
    }

    @Test
    void discardsOldWindows() {
        report(ONE, 7, Map.of(SHOPS, 3L));
        report(ONE, 8, Map.of(SHOPS, 3L));
        table.discardBefore(8);

        assertThat(table.windows(), is(List.of(8L)));
    }
}
