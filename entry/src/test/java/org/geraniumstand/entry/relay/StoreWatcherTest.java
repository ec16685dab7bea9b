package org.geraniumstand.entry.relay;

import static org.geraniumstand.entry.relay.FakeRevisionStore.at;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumstand.decisions.relay.StoreBounds;
import org.geraniumstand.model.relay.StoreEntry;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.outside.relay.RevisionStore.Change;
import org.geraniumstand.outside.relay.RevisionStore.Changes;
import org.geraniumstand.outside.store.StoreError;
import org.geraniumstand.peer.PeerMessage;
import org.junit.jupiter.api.Test;

final class StoreWatcherTest {
    private static final StoreBounds BOUNDS = new StoreBounds(3_000, 4_000);
    private static final int PEERS = 77;
    private static final long SHORT_DELAY_MILLIS = 1_000;
    private static final long LONG_DELAY_MILLIS = 3_000;

    private final FakeRevisionStore store = new FakeRevisionStore();
    private final ManualTimer timer = new ManualTimer();
    private long nowNanos;
    private final List<String> events = new ArrayList<>();
    private final List<String> watchedKeyEvents = new ArrayList<>();
    private final List<PeerMessage.StoreUpdate> forwarded = new ArrayList<>();
    private final StoreWatcher watcher = new StoreWatcher(
            store,
            new FakeEntryReader(),
            timer,
            () -> nowNanos,
            BOUNDS,
            new RecordingListener(),
            "own/x",
            present -> watchedKeyEvents.add(present ? "there" : "gone"));
    private long revision = 200;

    private final class RecordingListener implements StoreWatcher.Listener {
        @Override
        public void onEntry(StoreEntry entry) {
            events.add("updated " + ((StoreEntry.ServerEntry) entry).server().id());
        }

        @Override
        public void onRemoved(StoreEntry.Removed removed, long _retainedMillis) {
            events.add("removed " + ((StoreEntry.Removed.Server) removed).server());
        }

        @Override
        public void onUpToDate() {}

        @Override
        public void onSnapshot(List<StoreEntry> snapshot) {
            events.add("snapshot " + snapshot.size());
        }
    }

    private void change(String key, Optional<String> value) {
        revision++;
        store.answerWatch(Result.ok(new Changes(List.of(new Change(key, value, at(revision))), at(revision))));
        timer.run(SHORT_DELAY_MILLIS);
    }

    private static PeerMessage.StoreUpdate peerChanges(long since, long through, Change... changes) {
        return new PeerMessage.StoreUpdate(at(since), at(through), false, List.of(changes));
    }

    private static Change ready(String key, long revision) {
        return new Change(key, Optional.of("ready"), at(revision));
    }

    private void failCall() {
        store.answerWatch(Result.err(StoreError.UNAVAILABLE));
        timer.run(SHORT_DELAY_MILLIS);
    }

    /** Fails calls for long enough that entries may expire. */
    private void outage() {
        failCall();
        nowNanos += SHORT_DELAY_MILLIS * 2 * Timestamp.NANOS_PER_MILLI;
        failCall();
    }

    @Test
    void readsASnapshotAndThenAppliesChanges() {
        store.write("s/a", "ready");
        watcher.start();
        change("s/b", Optional.of("ready"));
        change("s/a", Optional.empty());

        assertThat(events, contains("snapshot 1", "updated b", "removed a"));
        assertThat(store.pendingWatches(), is(1));
    }

    /**
     * 65 servers rewrite their entries every 1.2 s, and a store reader forwards changes to 78 processes, so unchanged entries
     * must be left out.
     */
    @Test
    void ignoresEntriesThatAreRewrittenUnchanged() {
        store.write("s/a", "ready");
        watcher.start();
        watcher.setReader(true, PEERS);
        watcher.setChangeForwarder(forwarded::add);
        change("s/a", Optional.of("ready"));
        change("s/a", Optional.of("ready"));
        assertThat(events, contains("snapshot 1"));
        change("s/a", Optional.of("leaving"));

        assertThat(events, contains("snapshot 1", "updated a"));
        // The first change is forwarded, as this process had not read the entry itself since it became a store reader.
        assertThat(
                forwarded.stream()
                        .flatMap(update -> update.changes().stream())
                        .map(change -> change.value().orElse(""))
                        .toList(),
                contains("ready", "leaving"));
    }

    /** The countdowns of starting servers saturated the link of a small host that forwarded changes to 77 processes. */
    @Test
    void ignoresTheCountdownOfColdServers() {
        watcher.setChangeForwarder(forwarded::add);
        watcher.start();
        watcher.setReader(true, PEERS);
        change("s/a", Optional.of("cold 3000"));
        nowNanos += 1_200 * Timestamp.NANOS_PER_MILLI;
        change("s/a", Optional.of("cold 1800"));
        nowNanos += 1_200 * Timestamp.NANOS_PER_MILLI;
        change("s/a", Optional.of("cold 600"));

        assertThat(events, contains("snapshot 0", "updated a"));
        assertThat(
                forwarded.stream().mapToInt(update -> update.changes().size()).sum(), is(1));
    }

    /** A store reader that gets a change from the other reader first must forward it too, as its peers may not have it. */
    @Test
    void forwardsAChangeThatAnotherReaderForwardedBefore() {
        store.write("s/a", "ready");
        watcher.start();
        watcher.setReader(true, PEERS);
        watcher.setChangeForwarder(forwarded::add);
        watcher.onPeerChanges(
                peerChanges(101, revision + 1, new Change("s/a", Optional.of("leaving"), at(revision + 1))));
        change("s/a", Optional.of("leaving"));

        assertThat(events, contains("snapshot 1", "updated a"));
        assertThat(
                forwarded.stream()
                        .flatMap(update -> update.changes().stream())
                        .map(Change::key)
                        .toList(),
                contains("s/a"));
    }

    @Test
    void appliesAnEntryThatIsRemovedAndWrittenAgainUnchanged() {
        store.write("s/a", "ready");
        watcher.start();
        change("s/a", Optional.empty());
        change("s/a", Optional.of("ready"));

        assertThat(events, contains("snapshot 1", "removed a", "updated a"));
    }

    @Test
    void readsANewSnapshotWhenTheHistoryIsCompacted() {
        watcher.start();
        store.write("s/a", "ready");
        store.answerWatch(Result.err(StoreError.HISTORY_GONE));

        assertThat(events, contains("snapshot 0", "snapshot 1"));
    }

    @Test
    void retriesTheSnapshotUntilTheStoreAnswers() {
        store.setUnavailable(true);
        watcher.start();
        timer.run(SHORT_DELAY_MILLIS);
        assertThat(events, empty());
        store.setUnavailable(false);
        timer.run(SHORT_DELAY_MILLIS);

        assertThat(events, contains("snapshot 0"));
    }

    @Test
    void retainsAServerForAGracePeriodIfItsEntryIsRemovedAfterAnOutage() {
        store.write("s/a", "ready");
        watcher.start();
        outage();
        change("s/a", Optional.empty());
        assertThat(events, contains("snapshot 1"));
        nowNanos += LONG_DELAY_MILLIS * Timestamp.NANOS_PER_MILLI;
        timer.run(LONG_DELAY_MILLIS);

        assertThat(events, contains("snapshot 1", "removed a"));
    }

    @Test
    void keepsAServerWhoseEntryIsWrittenAgainAfterAnOutage() {
        store.write("s/a", "ready");
        watcher.start();
        outage();
        change("s/a", Optional.empty());
        change("s/a", Optional.of("ready"));
        timer.run(LONG_DELAY_MILLIS);

        assertThat(events, contains("snapshot 1", "updated a"));
    }

    /** The server was removed at the end of its grace period, though a full read had listed it again. */
    @Test
    void keepsAServerThatANewSnapshotListsAgainAfterAnOutage() {
        store.write("s/a", "ready");
        watcher.start();
        outage();
        change("s/a", Optional.empty());
        store.answerWatch(Result.err(StoreError.HISTORY_GONE));
        nowNanos += LONG_DELAY_MILLIS * Timestamp.NANOS_PER_MILLI;
        timer.run(LONG_DELAY_MILLIS);

        assertThat(events, contains("snapshot 1", "snapshot 1"));
    }

    /** Some servers never announce that they drain: their entries are removed, and they accept requests for another 2 s. */
    @Test
    void removesAServerAtOnceAfterASingleFailedCall() {
        store.write("s/a", "ready");
        watcher.start();
        failCall();
        change("s/a", Optional.empty());

        assertThat(events, contains("snapshot 1", "removed a"));
    }

    @Test
    void removesADrainingServerAtOnceEvenAfterAnOutage() {
        store.write("s/a", "leaving");
        watcher.start();
        outage();
        change("s/a", Optional.empty());

        assertThat(events, contains("snapshot 1", "removed a"));
    }

    @Test
    void reportsChangesOfTheWatchedKey() {
        watcher.start();
        change("own/x", Optional.empty());
        change("own/y", Optional.empty());
        change("own/x", Optional.of("holder"));

        assertThat(watchedKeyEvents, contains("gone", "there"));
    }

    /** Two store readers watch the store; the other processes must get every change from them without calls of their own. */
    @Test
    void appliesChangesFromPeersWithoutWatchingTheStore() {
        watcher.start();
        store.answerWatch(Result.ok(new Changes(List.of(), at(100))));
        watcher.onPeerChanges(peerChanges(100, 100));
        timer.run(SHORT_DELAY_MILLIS);
        watcher.onPeerChanges(peerChanges(100, 105, ready("s/a", 103)));
        timer.run(SHORT_DELAY_MILLIS);

        assertThat(events, contains("snapshot 0", "updated a"));
        assertThat(store.pendingWatches(), is(0));
    }

    @Test
    void watchesTheStoreWhenChangesFromAPeerLeaveAGap() {
        watcher.start();
        watcher.onPeerChanges(peerChanges(100, 100));
        store.answerWatch(Result.ok(new Changes(List.of(), at(100))));
        timer.run(SHORT_DELAY_MILLIS);
        assertThat(store.pendingWatches(), is(0));
        watcher.onPeerChanges(peerChanges(110, 120, ready("s/a", 115)));
        timer.run(SHORT_DELAY_MILLIS);

        assertThat(events, contains("snapshot 0"));
        assertThat(store.pendingWatches(), is(1));
    }

    @Test
    void watchesTheStoreWhenAPeerWithheldChanges() {
        watcher.start();
        watcher.onPeerChanges(peerChanges(100, 100));
        store.answerWatch(Result.ok(new Changes(List.of(), at(100))));
        timer.run(SHORT_DELAY_MILLIS);
        watcher.onPeerChanges(new PeerMessage.StoreUpdate(at(100), at(120), true, List.of()));
        timer.run(SHORT_DELAY_MILLIS);

        assertThat(store.pendingWatches(), is(1));
    }

    /** A store reader may get a change from the other reader that is not yet in the pending response to its own watch. */
    @Test
    void watchesOnceMoreBeforeItReadsANewSnapshot() {
        watcher.start();
        watcher.setReader(true, PEERS);
        watcher.onPeerChanges(new PeerMessage.StoreUpdate(at(100), at(120), true, List.of()));
        store.answerWatch(Result.ok(new Changes(List.of(), at(110))));
        timer.run(SHORT_DELAY_MILLIS);
        assertThat(events, contains("snapshot 0"));
        assertThat(store.pendingWatches(), is(1));
        store.answerWatch(Result.ok(new Changes(List.of(), at(110))));

        assertThat(events, contains("snapshot 0", "snapshot 0"));
    }

    /** A watch that started before changes from a peer arrived may return older changes than these. */
    @Test
    void ignoresChangesThatAreOlderThanTheAppliedRevision() {
        watcher.start();
        watcher.onPeerChanges(peerChanges(100, 120, ready("s/a", 110), new Change("s/a", Optional.empty(), at(120))));
        store.answerWatch(Result.ok(new Changes(List.of(ready("s/a", 110)), at(110))));

        assertThat(events, contains("snapshot 0", "updated a", "removed a"));
    }

    /** A store reader may reach the store after an outage before this process does. */
    @Test
    void retainsAServerForAGracePeriodIfAPeerReportsItsRemovalAfterAnOutage() {
        store.write("s/a", "ready");
        watcher.start();
        outage();
        watcher.onPeerChanges(peerChanges(100, 120, new Change("s/a", Optional.empty(), at(120))));
        assertThat(events, contains("snapshot 1"));
        nowNanos += LONG_DELAY_MILLIS * Timestamp.NANOS_PER_MILLI;
        timer.run(LONG_DELAY_MILLIS);

        assertThat(events, contains("snapshot 1", "removed a"));
    }

    /** The store answered all other processes, so no entry expired because of an outage. */
    @Test
    void removesAServerAtOnceIfOnlyThisProcessIsCutOffFromTheStore() {
        store.write("s/a", "ready");
        watcher.start();
        failCall();
        nowNanos += SHORT_DELAY_MILLIS * Timestamp.NANOS_PER_MILLI;
        watcher.onPeerChanges(peerChanges(100, 110));
        nowNanos += SHORT_DELAY_MILLIS * Timestamp.NANOS_PER_MILLI;
        failCall();
        watcher.onPeerChanges(peerChanges(110, 120, new Change("s/a", Optional.empty(), at(120))));

        assertThat(events, contains("snapshot 1", "removed a"));
    }

    @Test
    void forwardsRelevantChangesWhileItIsAReader() {
        watcher.setChangeForwarder(forwarded::add);
        watcher.start();
        watcher.setReader(true, PEERS);
        change("usage/1", Optional.of("{}"));
        change("s/a", Optional.of("ready"));

        assertThat(forwarded, contains(peerChanges(100, 202, ready("s/a", 202))));
    }

    /** The snapshot was read at revision 101, so changes up to it were not forwarded to peers one by one. */
    @Test
    void forwardsOnlyChangesAfterANewSnapshot() {
        watcher.setChangeForwarder(forwarded::add);
        watcher.start();
        watcher.setReader(true, PEERS);
        store.write("s/a", "ready");
        store.answerWatch(Result.err(StoreError.HISTORY_GONE));
        change("s/b", Optional.of("ready"));

        assertThat(forwarded, contains(peerChanges(101, 201, ready("s/b", 201))));
    }

    @Test
    void forwardsOnlyChangesAfterTheFirstSnapshot() {
        watcher.setChangeForwarder(forwarded::add);
        watcher.setReader(true, PEERS);
        watcher.start();
        change("s/a", Optional.of("ready"));

        assertThat(forwarded, contains(peerChanges(100, 201, ready("s/a", 201))));
    }

    /**
     * Store readers forward changes to each other too; neither may report a revision up to which only the other one read
     * the store.
     */
    @Test
    void forwardsOnlyChangesThatItReadItself() {
        watcher.setChangeForwarder(forwarded::add);
        watcher.start();
        watcher.setReader(true, PEERS);
        watcher.onPeerChanges(peerChanges(100, 150, ready("s/a", 140)));
        store.answerWatch(Result.ok(new Changes(List.of(ready("s/b", 120)), at(120))));
        timer.run(SHORT_DELAY_MILLIS);

        assertThat(forwarded, contains(peerChanges(100, 120, ready("s/b", 120))));
        assertThat(store.lastWatchRevision(), is(at(120)));
    }

    @Test
    void withholdsLargeChangesFromPeers() {
        watcher.setChangeForwarder(forwarded::add);
        watcher.start();
        watcher.setReader(true, PEERS);
        change("s/a", Optional.of("x".repeat(20_000)));

        assertThat(forwarded, contains(new PeerMessage.StoreUpdate(at(100), at(201), true, List.of())));
    }

    @Test
    void forwardsNothingWhileItIsNotAReader() {
        watcher.setChangeForwarder(forwarded::add);
        watcher.start();
        change("s/a", Optional.of("ready"));

        assertThat(forwarded, empty());
    }
}
