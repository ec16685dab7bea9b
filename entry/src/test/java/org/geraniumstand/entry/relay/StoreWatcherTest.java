package org.geraniumstand.entry.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumstand.decisions.relay.StoreBounds;
import org.geraniumstand.model.relay.StoreFact;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.model.time.Moment;
import org.geraniumstand.outside.relay.RevisionStore.Change;
import org.geraniumstand.outside.relay.RevisionStore.Changes;
import org.geraniumstand.outside.store.StoreError;
import org.geraniumstand.peer.PeerMessage;
import org.junit.jupiter.api.Test;

final class StoreWatcherTest {
    private static final StoreBounds BOUNDS = new StoreBounds(3_000, 4_000);
    private static final int PEERS = 77;
    private static final long SOON = 1_000;
    private static final long LATER = 3_000;

    private final FakeRevisionStore store = new FakeRevisionStore();
    private final ManualTimer timer = new ManualTimer();
    private long nowNanos;
    private final List<String> told = new ArrayList<>();
    private final List<String> ownKey = new ArrayList<>();
    private final List<PeerMessage.StoreNews> news = new ArrayList<>();
    private final StoreWatcher follower = new StoreWatcher(
            store,
            new FakeEntryReader(),
            timer,
            () -> nowNanos,
            BOUNDS,
            new Told(),
            "own/x",
            present -> ownKey.add(present ? "there" : "gone"));
    private long revision = 200;

    private final class Told implements StoreWatcher.Listener {
        @Override
        public void onFact(StoreFact fact) {
            told.add("fact " + ((StoreFact.Listed) fact).server().id());
        }

        @Override
        public void onRemoved(StoreFact.Removed removed, long _heldMillis) {
            told.add("gone " + ((StoreFact.Removed.Server) removed).server());
        }

        @Override
        public void onInformed() {}

        @Override
        public void onWhole(List<StoreFact> facts) {
            told.add("whole " + facts.size());
        }
    }

    private void change(String key, Optional<String> value) {
        revision++;
        store.tell(Result.ok(new Changes(List.of(new Change(key, value, revision)), revision)));
        timer.run(SOON);
    }

    private static PeerMessage.StoreNews told(long since, long at, Change... changes) {
        return new PeerMessage.StoreNews(since, at, false, List.of(changes));
    }

    private static Change ready(String key, long revision) {
        return new Change(key, Optional.of("ready"), revision);
    }

    private void fail() {
        store.tell(Result.err(StoreError.UNAVAILABLE));
        timer.run(SOON);
    }

    /** The store fails for long enough that entries lapse. */
    private void outage() {
        fail();
        nowNanos += SOON * 2 * Moment.NANOS_PER_MILLI;
        fail();
    }

    @Test
    void readsAllAndThenFollowsChanges() {
        store.write("s/a", "ready");
        follower.start();
        change("s/b", Optional.of("ready"));
        change("s/a", Optional.empty());

        assertThat(told, contains("whole 1", "fact b", "gone a"));
        assertThat(store.watching(), is(1));
    }

    /** 65 servers write their entries again every 1.2 s, and a reader tells 78 processes what changed. */
    @Test
    void tellsNobodyOfEntriesThatSayNothingNew() {
        store.write("s/a", "ready");
        follower.start();
        follower.onReader(true, PEERS);
        follower.onNews(news::add);
        change("s/a", Optional.of("ready"));
        change("s/a", Optional.of("ready"));
        assertThat(told, contains("whole 1"));
        change("s/a", Optional.of("leaving"));

        assertThat(told, contains("whole 1", "fact a"));
        // The first is told, as this process had not seen the entry itself since it began to tell.
        assertThat(
                news.stream()
                        .flatMap(n -> n.changes().stream())
                        .map(c -> c.value().orElse(""))
                        .toList(),
                contains("ready", "leaving"));
    }

    /** The link of a small host that carries news to 77 processes was full of servers that counted down. */
    @Test
    void tellsNobodyOfServersThatCountDownUntilTheyAreWarm() {
        follower.onNews(news::add);
        follower.start();
        follower.onReader(true, PEERS);
        change("s/a", Optional.of("cold 3000"));
        nowNanos += 1_200 * Moment.NANOS_PER_MILLI;
        change("s/a", Optional.of("cold 1800"));
        nowNanos += 1_200 * Moment.NANOS_PER_MILLI;
        change("s/a", Optional.of("cold 600"));

        assertThat(told, contains("whole 0", "fact a"));
        assertThat(news.stream().mapToInt(n -> n.changes().size()).sum(), is(1));
    }

    /** Two processes ask for all; one hears a change from the other first, but those that it tells may not have. */
    @Test
    void tellsAChangeThatAnotherReaderToldItBefore() {
        store.write("s/a", "ready");
        follower.start();
        follower.onReader(true, PEERS);
        follower.onNews(news::add);
        follower.onTold(told(101, revision + 1, new Change("s/a", Optional.of("leaving"), revision + 1)));
        change("s/a", Optional.of("leaving"));

        assertThat(told, contains("whole 1", "fact a"));
        assertThat(
                news.stream()
                        .flatMap(n -> n.changes().stream())
                        .map(Change::key)
                        .toList(),
                contains("s/a"));
    }

    @Test
    void takesAnEntryThatComesBackAsItWas() {
        store.write("s/a", "ready");
        follower.start();
        change("s/a", Optional.empty());
        change("s/a", Optional.of("ready"));

        assertThat(told, contains("whole 1", "gone a", "fact a"));
    }

    @Test
    void readsAnewWhenTheHistoryIsGone() {
        follower.start();
        store.write("s/a", "ready");
        store.tell(Result.err(StoreError.HISTORY_GONE));

        assertThat(told, contains("whole 0", "whole 1"));
    }

    @Test
    void startsOverUntilTheStoreAnswers() {
        store.out(true);
        follower.start();
        timer.run(SOON);
        assertThat(told, empty());
        store.out(false);
        timer.run(SOON);

        assertThat(told, contains("whole 0"));
    }

    @Test
    void keepsAServerThatVanishedAroundAnOutageForAWhile() {
        store.write("s/a", "ready");
        follower.start();
        outage();
        change("s/a", Optional.empty());
        assertThat(told, contains("whole 1"));
        nowNanos += LATER * Moment.NANOS_PER_MILLI;
        timer.run(LATER);

        assertThat(told, contains("whole 1", "gone a"));
    }

    @Test
    void keepsAServerForGoodThatIsBackAfterAnOutage() {
        store.write("s/a", "ready");
        follower.start();
        outage();
        change("s/a", Optional.empty());
        change("s/a", Optional.of("ready"));
        timer.run(LATER);

        assertThat(told, contains("whole 1", "fact a"));
    }

    /** Some servers never say that they leave; their entries are removed, and they serve for 2 s from then. */
    @Test
    void dropsAServerAtOnceThatVanishesAfterASingleFailure() {
        store.write("s/a", "ready");
        follower.start();
        fail();
        change("s/a", Optional.empty());

        assertThat(told, contains("whole 1", "gone a"));
    }

    @Test
    void dropsALeavingServerAtOnceAlsoAroundAnOutage() {
        store.write("s/a", "leaving");
        follower.start();
        outage();
        change("s/a", Optional.empty());

        assertThat(told, contains("whole 1", "gone a"));
    }

    @Test
    void tellsOfChangesOfItsOwnKey() {
        follower.start();
        change("own/x", Optional.empty());
        change("own/y", Optional.empty());
        change("own/x", Optional.of("holder"));

        assertThat(ownKey, contains("gone", "there"));
    }

    /** Two processes ask for all; the others must learn every change from them, without a call of their own. */
    @Test
    void takesChangesThatAPeerSawAndLeavesTheStoreAlone() {
        follower.start();
        store.tell(Result.ok(new Changes(List.of(), 100)));
        follower.onTold(told(100, 100));
        timer.run(SOON);
        follower.onTold(told(100, 105, ready("s/a", 103)));
        timer.run(SOON);

        assertThat(told, contains("whole 0", "fact a"));
        assertThat(store.watching(), is(0));
    }

    @Test
    void asksTheStoreOnceAPeersNewsLeaveAGap() {
        follower.start();
        follower.onTold(told(100, 100));
        store.tell(Result.ok(new Changes(List.of(), 100)));
        timer.run(SOON);
        assertThat(store.watching(), is(0));
        follower.onTold(told(110, 120, ready("s/a", 115)));
        timer.run(SOON);

        assertThat(told, contains("whole 0"));
        assertThat(store.watching(), is(1));
    }

    @Test
    void asksTheStoreForWhatAPeerWithheld() {
        follower.start();
        follower.onTold(told(100, 100));
        store.tell(Result.ok(new Changes(List.of(), 100)));
        timer.run(SOON);
        follower.onTold(new PeerMessage.StoreNews(100, 120, true, List.of()));
        timer.run(SOON);

        assertThat(store.watching(), is(1));
    }

    /** Two processes ask for all; one is told of a change that the answer on its way to it does not have yet. */
    @Test
    void asksAgainBeforeItReadsAllAnew() {
        follower.start();
        follower.onReader(true, PEERS);
        follower.onTold(new PeerMessage.StoreNews(100, 120, true, List.of()));
        store.tell(Result.ok(new Changes(List.of(), 110)));
        timer.run(SOON);
        assertThat(told, contains("whole 0"));
        assertThat(store.watching(), is(1));
        store.tell(Result.ok(new Changes(List.of(), 110)));

        assertThat(told, contains("whole 0", "whole 0"));
    }

    /** A watch that was asked before a peer's news came answers with what is older than them. */
    @Test
    void doesNotGoBackToWhatIsOlder() {
        follower.start();
        follower.onTold(told(100, 120, ready("s/a", 110), new Change("s/a", Optional.empty(), 120)));
        store.tell(Result.ok(new Changes(List.of(ready("s/a", 110)), 110)));

        assertThat(told, contains("whole 0", "fact a", "gone a"));
    }

    /** The store is back, and a peer that asks it for all hears so first. */
    @Test
    void keepsAServerForAWhileThatAPeerSawVanishAfterAnOutage() {
        store.write("s/a", "ready");
        follower.start();
        outage();
        follower.onTold(told(100, 120, new Change("s/a", Optional.empty(), 120)));
        assertThat(told, contains("whole 1"));
        nowNanos += LATER * Moment.NANOS_PER_MILLI;
        timer.run(LATER);

        assertThat(told, contains("whole 1", "gone a"));
    }

    /** The store served everybody else, so that no entry lapsed. */
    @Test
    void dropsAServerAtOnceThatVanishesWhileOnlyThisProcessIsCutOff() {
        store.write("s/a", "ready");
        follower.start();
        fail();
        nowNanos += SOON * Moment.NANOS_PER_MILLI;
        follower.onTold(told(100, 110));
        nowNanos += SOON * Moment.NANOS_PER_MILLI;
        fail();
        follower.onTold(told(110, 120, new Change("s/a", Optional.empty(), 120)));

        assertThat(told, contains("whole 1", "gone a"));
    }

    @Test
    void tellsPeersWhatMattersWhileItAsksForAll() {
        follower.onNews(news::add);
        follower.start();
        follower.onReader(true, PEERS);
        change("usage/1", Optional.of("{}"));
        change("s/a", Optional.of("ready"));

        assertThat(news, contains(told(100, 202, ready("s/a", 202))));
    }

    /** The entries were read at revision 101, so that changes before it were not told to peers one by one. */
    @Test
    void tellsPeersOnlyWhatComesAfterItReadAnew() {
        follower.onNews(news::add);
        follower.start();
        follower.onReader(true, PEERS);
        store.write("s/a", "ready");
        store.tell(Result.err(StoreError.HISTORY_GONE));
        change("s/b", Optional.of("ready"));

        assertThat(news, contains(told(101, 201, ready("s/b", 201))));
    }

    @Test
    void tellsPeersOnlyWhatComesAfterItsFirstRead() {
        follower.onNews(news::add);
        follower.onReader(true, PEERS);
        follower.start();
        change("s/a", Optional.of("ready"));

        assertThat(news, contains(told(100, 201, ready("s/a", 201))));
    }

    /** Two processes tell each other too; neither may vouch for changes that only the other one saw. */
    @Test
    void tellsPeersNoMoreThanItSawItself() {
        follower.onNews(news::add);
        follower.start();
        follower.onReader(true, PEERS);
        follower.onTold(told(100, 150, ready("s/a", 140)));
        store.tell(Result.ok(new Changes(List.of(ready("s/b", 120)), 120)));
        timer.run(SOON);

        assertThat(news, contains(told(100, 120, ready("s/b", 120))));
        assertThat(store.watchedSince(), is(120L));
    }

    @Test
    void withholdsFromPeersWhatIsLarge() {
        follower.onNews(news::add);
        follower.start();
        follower.onReader(true, PEERS);
        change("s/a", Optional.of("x".repeat(20_000)));

        assertThat(news, contains(new PeerMessage.StoreNews(100, 201, true, List.of())));
    }

    @Test
    void tellsPeersNothingWhileOthersAskForAll() {
        follower.onNews(news::add);
        follower.start();
        change("s/a", Optional.of("ready"));

        assertThat(news, empty());
    }
}
