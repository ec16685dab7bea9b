package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.StoreEntry;
import org.junit.jupiter.api.Test;

final class RestoredEntryPolicyTest {
    private static final long NOW = 40_000 * Calls.MILLI;
    private static final long PASSED = NOW + 5_000 * Calls.MILLI;

    private final RestoredEntryPolicy policy = restored();

    private static RestoredEntryPolicy restored() {
        RestoredEntryPolicy policy = new RestoredEntryPolicy();
        policy.onRestored(NOW);
        return policy;
    }

    private static StoreEntry.ServerEntry entry(long start, long sequence, boolean draining) {
        return new StoreEntry.ServerEntry(
                new RelayServer(
                        new ServerId("a"),
                        start,
                        Calls.PLAIN_SERVICE,
                        "127.0.0.1",
                        1,
                        Calls.WEST,
                        new VersionId("v"),
                        1,
                        draining,
                        0,
                        false),
                sequence);
    }

    @Test
    void entryOfTheSameStartWithALowerSequenceIsOutdated() {
        assertThat(policy.isOutdated(entry(7, 30, true), entry(7, 29, false), NOW), is(true));
        assertThat(policy.isOutdated(entry(7, 30, true), entry(7, 30, true), NOW), is(false));
        assertThat(policy.isOutdated(entry(7, 30, true), entry(7, 31, false), NOW), is(false));
    }

    @Test
    void restartedServerCountsAnew() {
        assertThat(policy.isOutdated(entry(7, 30, true), entry(8, 1, false), NOW), is(false));
        assertThat(policy.isGone(entry(7, 30, false), entry(8, 1, false), NOW), is(false));
    }

    @Test
    void entryOfAnEarlierStartIsOutdated() {
        assertThat(policy.isOutdated(entry(8, 1, false), entry(7, 30, false), NOW), is(true));
        assertThat(policy.isGone(entry(8, 1, false), entry(7, 30, false), NOW), is(true));
    }

    @Test
    void drainingServerWithoutSequenceIsNotReadyAgainInTheSameStart() {
        long none = StoreEntry.ServerEntry.NO_SEQUENCE;
        assertThat(policy.isOutdated(entry(0, none, true), entry(0, none, false), NOW), is(true));
        assertThat(policy.isOutdated(entry(0, none, false), entry(0, none, true), NOW), is(false));
        assertThat(policy.isOutdated(entry(7, none, false), entry(0, none, false), NOW), is(false));
    }

    @Test
    void removedServerIsGoneWhateverItsSequence() {
        assertThat(policy.isGone(entry(7, 1, false), entry(7, 45, false), NOW), is(true));
    }

    @Test
    void nothingIsOutdatedWithoutARestoration() {
        RestoredEntryPolicy without = new RestoredEntryPolicy();
        assertThat(without.isOutdated(entry(7, 30, true), entry(7, 29, false), NOW), is(false));
        assertThat(without.isGone(entry(7, 30, true), entry(7, 29, false), NOW), is(false));
        assertThat(without.remainingMillis(NOW), is(0L));
    }

    @Test
    void endsOnceWritersHadTimeToWriteAgain() {
        assertThat(policy.remainingMillis(PASSED - Calls.MILLI), is(1L));
        assertThat(policy.remainingMillis(PASSED), is(0L));
        assertThat(policy.isOutdated(entry(7, 30, true), entry(7, 29, false), PASSED), is(false));
        assertThat(policy.isGone(entry(7, 30, true), entry(7, 29, false), PASSED), is(false));
    }
}
