package org.geraniumstand.model.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class StoreRevisionTest {
    private static final StoreRevision LOST = new StoreRevision(1, 500);
    private static final StoreRevision RESTORED = new StoreRevision(2, 40);

    @Test
    void stateOfALaterEraFollowsAHigherNumberOfAnEarlierOne() {
        assertThat(RESTORED.isAfter(LOST), is(true));
        assertThat(LOST.isAfter(RESTORED), is(false));
        assertThat(StoreRevision.max(LOST, RESTORED), is(RESTORED));
    }

    @Test
    void statesOfOneEraFollowTheirNumbers() {
        assertThat(new StoreRevision(1, 501).isAfter(LOST), is(true));
        assertThat(LOST.isAfter(LOST), is(false));
    }

    @Test
    void noStatePrecedesAllOthers() {
        assertThat(new StoreRevision(StoreRevision.UNKNOWN_ERA, 1).isAfter(StoreRevision.NONE), is(true));
        assertThat(new StoreRevision(0, 0).isAfter(StoreRevision.NONE), is(true));
    }

    @Test
    void numberRisesWithTheEraThoughRevisionsAreAssignedAgain() {
        assertThat(RESTORED.toNumber(), greaterThan(LOST.toNumber()));
        assertThat(new StoreRevision(1, 501).toNumber(), greaterThan(LOST.toNumber()));
    }

    @Test
    void numberOfAStoreWithoutErasIsItsRevision() {
        assertThat(new StoreRevision(StoreRevision.UNKNOWN_ERA, 42).toNumber(), is(42L));
    }
}
