package org.geraniumstand.entry.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumstand.decisions.relay.StoreBounds;
import org.geraniumstand.model.relay.StoreEntry;
import org.geraniumstand.model.relay.StoreRevision;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.outside.relay.RevisionStore.Change;
import org.geraniumstand.outside.relay.RevisionStore.Changes;
import org.geraniumstand.outside.store.StoreError;
import org.geraniumstand.peer.PeerMessage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Restores the store from an older copy while a watcher watches it or receives updates of peers. */
final class StoreWatcherRestorationTest {
    private static final long MAX_DELAY_MILLIS = 10_000;
    private static final long FIRST_ERA = 1;
    private static final long NEXT_ERA = 2;

    private final FakeRevisionStore store = new FakeRevisionStore();
    private final ManualTimer timer = new ManualTimer();
    private final List<String> events = new ArrayList<>();
    private final List<PeerMessage.StoreUpdate> forwarded = new ArrayList<>();
    private long nowNanos;
    private int upToDate;
    private final StoreWatcher watcher = new StoreWatcher(
            store,
            new FakeEntryReader(),
            timer,
            () -> nowNanos,
            new StoreBounds(3_000, 4_000),
            new RecordingListener(),
            "own/x",
            _present -> {});

    private final class RecordingListener implements StoreWatcher.Listener {
        @Override
        public void onEntry(StoreEntry entry) {
            events.add("updated " + name(entry));
        }

        @Override
        public void onRemoved(StoreEntry.Removed removed, long _retainedMillis) {
            events.add(
                    removed instanceof StoreEntry.Removed.Server server
                            ? "removed " + server.server()
                            : "in " + ((StoreEntry.Removed.DataCentreIn) removed).dataCentre());
        }

        @Override
        public void onUpToDate() {
            upToDate++;
        }

        @Override
        public void onSnapshot(List<StoreEntry> snapshot) {
            events.add("snapshot "
                    + snapshot.stream().map(RecordingListener::name).sorted().toList());
        }

        private static String name(StoreEntry entry) {
            if (entry instanceof StoreEntry.DataCentreOut out) {
                return "out " + out.dataCentre();
            }
            StoreEntry.ServerEntry server = (StoreEntry.ServerEntry) entry;
            return server.server().id() + (server.server().draining() ? " leaving" : "");
        }
    }

    @BeforeEach
    void statesItsEra() {
        store.era().onReported(FIRST_ERA);
    }

    private static StoreRevision at(long era, long number) {
        return new StoreRevision(era, number);
    }

    private static Change change(String key, String value, StoreRevision revision) {
        return new Change(key, Optional.of(value), revision);
    }

    private static String ready(long start, long sequence) {
        return FakeEntryReader.numbered(FakeEntryReader.READY, start, sequence);
    }

    private static String draining(long start, long sequence) {
        return FakeEntryReader.numbered(FakeEntryReader.DRAINING, start, sequence);
    }

    private void answerWatch(Change... changes) {
        store.answerWatch(Result.ok(new Changes(List.of(changes), changes[changes.length - 1].revision())));
        timer.run(1_000);
    }

    /** Restores the store and answers the pending watch as the client of the store does. */
    private void restore(long era, long revision, Map<String, String> items) {
        store.restore(era, revision, items);
        store.answerWatch(Result.err(StoreError.HISTORY_GONE));
    }

    /** Lets time pass in which the store answers without changes. */
    private void pass(long millis) {
        nowNanos += millis * Timestamp.NANOS_PER_MILLI;
        store.answerWatch(Result.ok(new Changes(List.of(), at(NEXT_ERA, 100))));
        timer.run(MAX_DELAY_MILLIS);
    }

    @Test
    void readsAllEntriesWhenAnyAnswerStatesANewEra() {
        store.write("s/a", "ready");
        watcher.start();
        store.restore(NEXT_ERA, 50, Map.of("s/b", "ready", "s/a", "ready"));

        assertThat(events, contains("snapshot [a]", "snapshot [a, b]"));
        assertThat(store.lastWatchRevision(), is(at(NEXT_ERA, 50)));
    }

    @Test
    void readsAllEntriesWhenAPeerStatesANewEra() {
        watcher.start();
        store.write("s/a", "ready");
        watcher.onPeerChanges(new PeerMessage.StoreUpdate(at(NEXT_ERA, 40), at(NEXT_ERA, 41), false, List.of()));

        assertThat(events, contains("snapshot []", "snapshot [a]"));
    }

    /** Each of the calls in the first era would have gone on in a watch of its own. */
    @Test
    void endsTheWatchThatWasPendingAtARestoration() {
        watcher.start();
        store.restore(NEXT_ERA, 50, Map.of());
        store.answerWatch(Result.ok(
                new Changes(List.of(change("s/a", "ready", at(FIRST_ERA, 200))), at(FIRST_ERA, 200))));
        timer.run(1_000);

        assertThat(events, contains("snapshot []", "snapshot []"));
        assertThat(store.pendingWatches(), is(1));
        assertThat(store.lastWatchRevision(), is(at(NEXT_ERA, 50)));
    }

    @Test
    void lateUpdateOfAnEarlierEraIsNotTakenForContactWithTheStore() {
        watcher.start();
        restore(NEXT_ERA, 50, Map.of());
        int before = upToDate;
        watcher.onPeerChanges(new PeerMessage.StoreUpdate(
                at(FIRST_ERA, 100), at(FIRST_ERA, 500), false, List.of(change("s/old", "ready", at(FIRST_ERA, 480)))));

        assertThat(upToDate, is(before));
        assertThat(events, contains("snapshot []", "snapshot []"));
        answerWatch(change("s/a", "ready", at(NEXT_ERA, 51)));
        assertThat(events, contains("snapshot []", "snapshot []", "updated a"));
    }

    @Test
    void appliesChangesOfPeersInANewEraWhileTheStoreRejectsItsOwnReads() {
        store.write("s/a", "ready");
        watcher.start();
        store.setUnavailable(true);
        watcher.onPeerChanges(new PeerMessage.StoreUpdate(
                at(NEXT_ERA, 40),
                at(NEXT_ERA, 41),
                false,
                List.of(change("s/a", FakeEntryReader.DRAINING, at(NEXT_ERA, 41)))));
        timer.run(1_000);
        assertThat(events, contains("snapshot [a]", "updated a leaving"));
        int before = upToDate;
        store.setUnavailable(false);
        timer.run(1_000);

        assertThat(upToDate, is(before + 1));
    }

    /** A store reader of an earlier build forwards changes without an era; the process must then read the store itself. */
    @Test
    void readsTheStoreItselfWhilePeersStateNoEra() {
        watcher.start();
        for (int i = 0; i < 3; i++) {
            watcher.onPeerChanges(new PeerMessage.StoreUpdate(
                    FakeRevisionStore.at(100 + i), FakeRevisionStore.at(101 + i), false, List.of()));
            answerWatch(change("s/a" + i, "ready", at(FIRST_ERA, 101 + i)));
        }

        assertThat(store.pendingWatches(), is(1));
        assertThat(events, contains("snapshot []", "updated a0", "updated a1", "updated a2"));
    }

    @Test
    void storeReaderForwardsNothingOfAnEarlierEra() {
        watcher.setChangeForwarder(forwarded::add);
        watcher.start();
        watcher.setReader(true, 7);
        store.restore(NEXT_ERA, 50, Map.of());
        store.answerWatch(Result.ok(
                new Changes(List.of(change("s/a", "ready", at(FIRST_ERA, 200))), at(FIRST_ERA, 200))));
        answerWatch(change("s/b", "ready", at(NEXT_ERA, 51)));

        assertThat(
                forwarded,
                contains(new PeerMessage.StoreUpdate(
                        at(NEXT_ERA, 50), at(NEXT_ERA, 51), false, List.of(change("s/b", "ready", at(NEXT_ERA, 51))))));
    }

    /** The copy is older than the announcement of a server that drains. */
    @Test
    void drainingServerThatTheCopyShowsAsReadyIsNotUsedAgain() {
        store.write("s/a", draining(7, 30));
        watcher.start();
        restore(NEXT_ERA, 50, Map.of("s/a", ready(7, 28)));
        answerWatch(change("s/a", draining(7, 31), at(NEXT_ERA, 51)));

        assertThat(events, contains("snapshot [a leaving]", "snapshot [a leaving]"));
    }

    @Test
    void drainingServerWithoutSequenceThatTheCopyShowsAsReadyIsNotUsedAgain() {
        store.write("s/a", FakeEntryReader.DRAINING);
        watcher.start();
        restore(NEXT_ERA, 50, Map.of("s/a", FakeEntryReader.READY));

        assertThat(events, contains("snapshot [a leaving]", "snapshot [a leaving]"));
    }

    @Test
    void serverThatLeftIsNotUsedAgainBecauseTheCopyStillHasIt() {
        store.write("s/a", ready(7, 28));
        watcher.start();
        answerWatch(new Change("s/a", Optional.empty(), at(FIRST_ERA, 120)));
        restore(NEXT_ERA, 50, Map.of("s/a", ready(7, 28)));
        answerWatch(new Change("s/a", Optional.empty(), at(NEXT_ERA, 90)));
        pass(MAX_DELAY_MILLIS);

        assertThat(events, contains("snapshot [a]", "removed a", "snapshot []", "removed a"));
    }

    /** The entry had only expired while the store was away, and the server lives. */
    @Test
    void serverTakenForGoneIsUsedAgainOnceItWritesAgain() {
        store.write("s/a", ready(7, 28));
        watcher.start();
        answerWatch(new Change("s/a", Optional.empty(), at(FIRST_ERA, 120)));
        restore(NEXT_ERA, 50, Map.of("s/a", ready(7, 27)));
        answerWatch(change("s/a", ready(7, 29), at(NEXT_ERA, 51)));

        assertThat(events, contains("snapshot [a]", "removed a", "snapshot []", "updated a"));
    }

    @Test
    void entryThatIsHeldBackCountsOnceTheServersHadTimeToWriteAgain() {
        store.write("s/a", ready(7, 28));
        watcher.start();
        answerWatch(new Change("s/a", Optional.empty(), at(FIRST_ERA, 120)));
        restore(NEXT_ERA, 50, Map.of("s/a", ready(7, 28)));
        pass(MAX_DELAY_MILLIS);

        assertThat(events, contains("snapshot [a]", "removed a", "snapshot []", "updated a"));
    }

    @Test
    void restartedServerIsUsedThoughItCountsAnew() {
        store.write("s/a", draining(7, 30));
        watcher.start();
        restore(NEXT_ERA, 50, Map.of("s/a", ready(9, 1)));

        assertThat(events, contains("snapshot [a leaving]", "snapshot [a]"));
    }

    @Test
    void liveServerThatTheCopyLacksStaysInUse() {
        store.write("s/a", ready(7, 1));
        watcher.start();
        restore(NEXT_ERA, 50, Map.of());
        answerWatch(change("s/a", ready(7, 2), at(NEXT_ERA, 51)));
        pass(MAX_DELAY_MILLIS);

        assertThat(events, contains("snapshot [a]", "snapshot [a]", "updated a"));
    }

    @Test
    void serverThatTheCopyLacksAndThatDoesNotWriteAgainIsRemoved() {
        store.write("s/a", ready(7, 1));
        watcher.start();
        restore(NEXT_ERA, 50, Map.of());
        pass(MAX_DELAY_MILLIS);

        assertThat(events, contains("snapshot [a]", "snapshot [a]", "removed a"));
    }

    @Test
    void evacuationThatTheCopyLacksStaysInForceUntilItIsWrittenAgain() {
        store.write("out/d", "{}");
        watcher.start();
        restore(NEXT_ERA, 50, Map.of());
        answerWatch(change("out/d", "{}", at(NEXT_ERA, 51)));
        pass(MAX_DELAY_MILLIS);

        assertThat(events, contains("snapshot [out d]", "snapshot [out d]", "updated out d"));
    }

    @Test
    void evacuationThatIsNotWrittenAgainEnds() {
        store.write("out/d", "{}");
        watcher.start();
        restore(NEXT_ERA, 50, Map.of());
        pass(MAX_DELAY_MILLIS);

        assertThat(events, contains("snapshot [out d]", "snapshot [out d]", "in d"));
    }

    @Test
    void evacuationThatIsLiftedAfterTheRestorationEndsAtOnce() {
        store.write("out/d", "{}");
        watcher.start();
        restore(NEXT_ERA, 50, Map.of());
        answerWatch(new Change("out/d", Optional.empty(), at(NEXT_ERA, 52)));

        assertThat(events, contains("snapshot [out d]", "snapshot [out d]", "in d"));
    }

    /** The second copy may lack what was written again after the first restoration. */
    @Test
    void keepsWhatIsMissingThroughTwoRestorationsCloseTogether() {
        store.write("out/d", "{}");
        store.write("s/a", ready(7, 1));
        watcher.start();
        restore(NEXT_ERA, 50, Map.of());
        nowNanos += 1_500 * Timestamp.NANOS_PER_MILLI;
        restore(NEXT_ERA + 1, 60, Map.of());
        nowNanos += 1_500 * Timestamp.NANOS_PER_MILLI;
        timer.run(MAX_DELAY_MILLIS);

        assertThat(events, contains("snapshot [a, out d]", "snapshot [a, out d]", "snapshot [a, out d]"));
    }

    @Test
    void updateOfAnEarlierEraIsNotAppliedBeforeTheFirstRead() {
        store.setUnavailable(true);
        watcher.start();
        watcher.onPeerChanges(new PeerMessage.StoreUpdate(
                at(FIRST_ERA, 1), at(FIRST_ERA, 2), false, List.of(change("s/a", "ready", at(FIRST_ERA, 2)))));

        assertThat(events, is(empty()));
    }
}
