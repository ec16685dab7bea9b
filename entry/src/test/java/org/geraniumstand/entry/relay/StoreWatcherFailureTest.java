package org.geraniumstand.entry.relay;

import static org.geraniumstand.entry.relay.FakeRevisionStore.at;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumstand.decisions.relay.StoreBounds;
import org.geraniumstand.model.relay.StoreEntry;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.outside.relay.EntryReader;
import org.geraniumstand.outside.relay.RevisionStore.Change;
import org.geraniumstand.outside.relay.RevisionStore.Changes;
import org.geraniumstand.peer.PeerMessage;
import org.junit.jupiter.api.Test;

/** Guards against a watch of the store that ends for good, or loses other changes, when a listener throws. */
final class StoreWatcherFailureTest {
    private static final StoreBounds BOUNDS = new StoreBounds(3_000, 4_000);
    private static final long DELAY_MILLIS = 5_000;

    private final FakeRevisionStore store = new FakeRevisionStore();
    private final ManualTimer timer = new ManualTimer();
    private final List<String> events = new ArrayList<>();
    private final List<PeerMessage.StoreUpdate> forwarded = new ArrayList<>();

    /** The events for which the listener throws. */
    private final Set<String> failing = new HashSet<>();

    private final StoreWatcher watcher = new StoreWatcher(
            store,
            new FailingReader(),
            timer,
            this::now,
            BOUNDS,
            new FailingListener(),
            "own/x",
            present -> report("watched key " + present));
    private long revision = 200;

    private long now() {
        if (failing.remove("clock")) {
            throw new IllegalStateException("simulated failure of the clock");
        }
        return 0;
    }

    private void report(String event) {
        if (failing.contains(event)) {
            throw new IllegalStateException("simulated failure of a listener");
        }
        events.add(event);
    }

    private final class FailingListener implements StoreWatcher.Listener {
        @Override
        public void onEntry(StoreEntry entry) {
            report("updated " + ((StoreEntry.ServerEntry) entry).server().id());
        }

        @Override
        public void onRemoved(StoreEntry.Removed removed, long _retainedMillis) {
            report("removed " + ((StoreEntry.Removed.Server) removed).server());
        }

        @Override
        public void onUpToDate() {
            if (failing.contains("up to date")) {
                throw new IllegalStateException("simulated failure of a listener");
            }
        }

        @Override
        public void onSnapshot(List<StoreEntry> snapshot) {
            report("snapshot " + snapshot.size());
        }
    }

    private final class FailingReader implements EntryReader {
        private final EntryReader reader = new FakeEntryReader();

        @Override
        public StoreEntry readConfiguration(String text) {
            return reader.readConfiguration(text);
        }

        @Override
        public StoreEntry read(String key, String value) {
            if (failing.contains("read " + key)) {
                throw new IllegalStateException("simulated failure of the reader");
            }
            return reader.read(key, value);
        }

        @Override
        public StoreEntry.Removed readRemoved(String key) {
            return reader.readRemoved(key);
        }

        @Override
        public List<String> prefixes() {
            return reader.prefixes();
        }
    }

    private static Change ready(String key, long revision) {
        return new Change(key, Optional.of(FakeEntryReader.READY), at(revision));
    }

    private void change(String... keys) {
        List<Change> changes =
                Arrays.stream(keys).map(key -> ready(key, ++revision)).toList();
        answer(changes);
    }

    private void answer(List<Change> changes) {
        store.answerWatch(Result.ok(new Changes(changes, at(revision))));
        timer.run(DELAY_MILLIS);
    }

    @Test
    void listenerThatThrowsForAnEntryLosesNoOtherEntry() {
        watcher.start();
        failing.add("updated a");
        change("s/a", "s/b");
        change("s/c");

        assertThat(events, contains("snapshot 0", "updated b", "updated c"));
        assertThat(store.pendingWatches(), is(1));
    }

    @Test
    void entryWhoseListenerThrewIsReportedAgainWhenItIsWrittenAgain() {
        watcher.start();
        failing.add("updated a");
        change("s/a");
        failing.clear();
        change("s/a");

        assertThat(events, contains("snapshot 0", "updated a"));
    }

    @Test
    void listenerThatThrowsForARemovalLosesNoOtherChange() {
        store.write("s/a", FakeEntryReader.READY);
        watcher.start();
        failing.add("removed a");
        revision++;
        answer(List.of(new Change("s/a", Optional.empty(), at(revision)), ready("s/b", revision)));
        change("s/c");

        assertThat(events, contains("snapshot 1", "updated b", "updated c"));
    }

    @Test
    void listenerThatThrowsForASnapshotDoesNotPreventTheWatch() {
        store.write("s/a", FakeEntryReader.READY);
        failing.add("snapshot 1");
        watcher.start();
        change("s/b");

        assertThat(events, contains("updated b"));
        assertThat(store.pendingWatches(), is(1));
    }

    @Test
    void otherListenersThatThrowDoNotEndTheWatch() {
        failing.addAll(List.of("up to date", "watched key true"));
        watcher.start();
        change("own/x", "s/a");
        change("s/b");

        assertThat(events, contains("snapshot 0", "updated a", "updated b"));
    }

    @Test
    void readerThatThrowsLosesNoOtherEntry() {
        store.write("s/a", FakeEntryReader.READY);
        store.write("s/b", FakeEntryReader.READY);
        failing.addAll(List.of("read s/a", "read s/c"));
        watcher.start();
        change("s/c", "s/d");

        assertThat(events, contains("snapshot 1", "updated d"));
        assertThat(store.pendingWatches(), is(1));
    }

    @Test
    void listenerThatThrowsLosesNoOtherChangeOfAPeer() {
        watcher.start();
        failing.add("updated a");
        watcher.onPeerChanges(
                new PeerMessage.StoreUpdate(at(100), at(202), false, List.of(ready("s/a", 201), ready("s/b", 202))));
        watcher.onPeerChanges(new PeerMessage.StoreUpdate(at(202), at(203), false, List.of(ready("s/c", 203))));

        assertThat(events, contains("snapshot 0", "updated b", "updated c"));
    }

    /** Peers must not take the next update for complete, as they did not receive the one before. */
    @Test
    void changesThatCouldNotBeForwardedLeaveAGapForPeers() {
        watcher.start();
        watcher.setReader(true, 3);
        watcher.setChangeForwarder(_update -> {
            throw new IllegalStateException("simulated failure of the forwarder");
        });
        change("s/a");
        long lost = revision;
        watcher.setChangeForwarder(forwarded::add);
        change("s/b");

        assertThat(events, contains("snapshot 0", "updated a", "updated b"));
        assertThat(
                forwarded.stream().map(PeerMessage.StoreUpdate::afterRevision).toList(), contains(at(lost)));
    }

    @Test
    void watchThatThrowsItselfReadsASnapshotAndGoesOn() {
        watcher.start();
        failing.add("clock");
        change("s/a");
        timer.run(DELAY_MILLIS);
        timer.run(DELAY_MILLIS);
        change("s/b");

        assertThat(events, contains("snapshot 0", "snapshot 0", "updated b"));
        assertThat(store.pendingWatches(), is(1));
    }
}
