package org.geraniumstand.entry.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.geraniumstand.decisions.relay.UsageBook;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.time.Moment;
import org.geraniumstand.outside.relay.DutyDesk;
import org.geraniumstand.peer.PeerMessage;
import org.junit.jupiter.api.Test;

/** Processes that count, on one store, with a clock of their own. */
final class UsageTaskTest {
    private static final TeamId TEAM = new TeamId("shops");
    private static final long WINDOW = 5_000;
    private static final long LATE = 10_000;
    private static final long TICK = 250;
    private static final long START = 1_000 * WINDOW;

    private final FakeRevisionStore store = new FakeRevisionStore();
    private final Map<Long, Map<TeamId, Long>> reported = new TreeMap<>();
    private final Map<ProcessId, Counter> counters = new HashMap<>();
    private long nowMillis = START;

    /** A process; a message to one that is dead or cut off is lost. */
    private final class Counter {
        private final ProcessId id;
        private final ManualTimer timer = new ManualTimer();
        private final UsageTask task;
        private final LeaderElection lease;
        private boolean cutOff;
        private boolean dead;

        Counter(String name) {
            id = new ProcessId(name);
            lease = new LeaderElection(store, timer, new Random(1), name, 3_000);
            task = new UsageTask(
                    store,
                    new Desk(),
                    lease,
                    timer,
                    id,
                    new UsageBook(WINDOW),
                    LATE,
                    () -> new Moment(nowMillis * Moment.NANOS_PER_MILLI, nowMillis));
            task.onShares(this::send);
            counters.put(id, this);
            task.start();
        }

        private void send(ProcessId to, PeerMessage message) {
            Counter other = counters.get(to);
            if (other == null || cutOff || other.cutOff || other.dead) {
                return;
            }
            if (message instanceof PeerMessage.UsageShare share) {
                task.onConfirmed(to, other.task.onTold(id, share.windows()));
            }
        }

        void count(int requests) {
            for (int i = 0; i < requests; i++) {
                task.onBegan(TEAM);
            }
        }

        void takeDuties() {
            lease.start();
            timer.run(300);
        }
    }

    private final class Desk implements DutyDesk {
        @Override
        public void reportUsage(Claim _claim, long window, Map<TeamId, Long> counts, Consumer<Outcome> callback) {
            Map<TeamId, Long> before = reported.put(window, counts);
            assertThat(before == null || before.equals(counts), is(true));
            callback.accept(Outcome.DONE);
        }

        @Override
        public void orderServers(Claim _claim, ServerOrder _order, Consumer<Outcome> callback) {
            callback.accept(Outcome.BUSY);
        }
    }

    private Counter counter(String name) {
        return new Counter(name);
    }

    private void gatherAt(Counter... gatherers) {
        List<ProcessId> ids = new ArrayList<>();
        for (Counter gatherer : gatherers) {
            ids.add(gatherer.id);
        }
        counters.values().forEach(counter -> counter.task.onGatherers(ids));
    }

    private void passMillis(long millis) {
        for (long passed = 0; passed < millis; passed += TICK) {
            nowMillis += TICK;
            counters.values().stream().filter(c -> !c.dead).forEach(c -> c.timer.run(TICK));
        }
    }

    private Map<TeamId, Long> reportOf(long startMillis) {
        return reported.get(Math.floorDiv(startMillis, WINDOW));
    }

    @Test
    void reportsTheSumsOfAllProcesses() {
        Counter one = counter("one");
        Counter two = counter("two");
        Counter three = counter("three");
        gatherAt(one, two);
        three.takeDuties();
        one.count(2);
        two.count(3);
        three.count(4);
        passMillis(WINDOW + 3_000);

        assertThat(reportOf(START), is(Map.of(TEAM, 9L)));
    }

    /** A row a process and window would be 16 calls a second to the store at 78 processes. */
    @Test
    void leavesTheStoreToTheGatherers() {
        Counter one = counter("one");
        Counter two = counter("two");
        Counter three = counter("three");
        gatherAt(one, two);
        three.count(4);
        passMillis(WINDOW + 2_000);

        assertThat(store.keys(), not(empty()));
        assertThat(store.keys(), everyItem(not(startsWith("geraniumstand/usage/1000/three"))));
    }

    @Test
    void countsWhatAKilledProcessHadTold() {
        Counter one = counter("one");
        Counter two = counter("two");
        Counter three = counter("three");
        gatherAt(one, two);
        one.takeDuties();
        three.count(4);
        passMillis(1_000);
        three.dead = true;
        passMillis(WINDOW + 3_000);

        assertThat(reportOf(START), is(Map.of(TEAM, 4L)));
    }

    @Test
    void writesItsOwnCountsWhenItReachesNoOther() {
        Counter one = counter("one");
        Counter two = counter("two");
        Counter three = counter("three");
        gatherAt(one, two);
        one.takeDuties();
        three.cutOff = true;
        three.count(4);
        passMillis(WINDOW + 3_000);

        assertThat(reportOf(START), is(Map.of(TEAM, 4L)));
    }

    @Test
    void countsOnceWhatIsToldToANewGathererToo() {
        Counter one = counter("one");
        Counter two = counter("two");
        Counter three = counter("three");
        Counter four = counter("four");
        gatherAt(one, two);
        four.takeDuties();
        three.count(4);
        passMillis(1_000);
        two.dead = true;
        gatherAt(one, four);
        passMillis(WINDOW + 3_000);

        assertThat(reportOf(START), is(Map.of(TEAM, 4L)));
    }

    /** All processes lose power in the middle of a window; what was written a moment before still counts. */
    @Test
    void reportsWhatWasWrittenBeforeAllWereLost() {
        Counter one = counter("one");
        Counter two = counter("two");
        gatherAt(one, two);
        two.count(4);
        passMillis(2_000);
        one.dead = true;
        two.dead = true;
        nowMillis += 1_500;
        Counter next = counter("next");
        gatherAt(next);
        next.takeDuties();
        next.count(1);
        passMillis(WINDOW + 1_000);

        assertThat(reportOf(START), is(Map.of(TEAM, 5L)));
    }

    @Test
    void writesWhatNobodyHasBeforeItEnds() {
        Counter one = counter("one");
        Counter two = counter("two");
        gatherAt(two);
        two.takeDuties();
        one.count(3);
        one.task.flush();
        one.dead = true;
        passMillis(WINDOW + 3_000);

        assertThat(reportOf(START), is(Map.of(TEAM, 3L)));
    }

    @Test
    void removesTheRowsThatAReportSumsUp() {
        Counter one = counter("one");
        gatherAt(one);
        one.takeDuties();
        one.count(3);
        passMillis(WINDOW + 4_000);

        assertThat(
                store.keys().stream()
                        .filter(key -> key.startsWith("geraniumstand/usage/1000/"))
                        .toList(),
                empty());
        assertThat(store.keys(), hasSize(lessThanOrEqualTo(6)));
        assertThat(reported.keySet().stream().filter(w -> w == 1_000).toList(), contains(1_000L));
    }
}
