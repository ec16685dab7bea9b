package org.geraniumstand.outside.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.geraniumstand.model.relay.StoreRevision;
import org.junit.jupiter.api.Test;

final class StoreEraTest {
    private final StoreEra era = new StoreEra();
    private final List<Long> restorations = new ArrayList<>();

    @Test
    void doesNotTakeTheFirstEraForARestoration() {
        era.onRestored(restorations::add);
        era.onReported(StoreRevision.UNKNOWN_ERA);
        era.onReported(3);

        assertThat(restorations.isEmpty(), is(true));
        assertThat(era.latest(), is(3L));
    }

    @Test
    void reportsEachRestorationOnce() {
        era.onRestored(restorations::add);
        era.onReported(3);
        era.onReported(4);
        era.onReported(4);
        era.onReported(6);

        assertThat(restorations, contains(4L, 6L));
    }

    /** A delayed answer or a delayed message of a peer. */
    @Test
    void doesNotReturnToAnEarlierEra() {
        era.onReported(4);
        era.onReported(3);

        assertThat(era.latest(), is(4L));
        assertThat(era.isOutdated(3), is(true));
        assertThat(era.isOutdated(4), is(false));
    }

    @Test
    void countsNothingAsOutdatedThatStatesNoEra() {
        era.onReported(4);

        assertThat(era.isOutdated(StoreRevision.UNKNOWN_ERA), is(false));
    }

    /** A listener that reads from the store may learn of the next restoration before the others are called. */
    @Test
    void listenerMayReportAFurtherRestoration() {
        era.onRestored(_restored -> era.onReported(9));
        era.onRestored(restorations::add);
        era.onReported(3);
        era.onReported(4);

        assertThat(restorations, contains(9L));
        assertThat(era.latest(), is(9L));
    }
}
