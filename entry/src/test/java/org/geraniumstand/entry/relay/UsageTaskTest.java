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
import org.geraniumstand.decisions.relay.RequestCounter;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.outside.relay.LeaderApi;
import org.geraniumstand.peer.PeerMessage;
import org.junit.jupiter.api.Test;

/** Runs several processes that count requests against one store in virtual time. */
final class UsageTaskTest {
    private static final TeamId TEAM = new TeamId("shops");
    private static final long WINDOW_MILLIS = 5_000;
    private static final long LATE_MILLIS = 10_000;
    private static final long TICK_MILLIS = 250;
    private static final long START_MILLIS = 1_000 * WINDOW_MILLIS;

    private final FakeRevisionStore store = new FakeRevisionStore();
    private final Map<Long, Map<TeamId, Long>> reported = new TreeMap<>();
    private final Map<ProcessId, CountingProcess> processes = new HashMap<>();
    private long nowMillis = START_MILLIS;

    /** A process; messages to or from a process that is cut off and messages to a killed process are lost. */
    private final class CountingProcess {
        private final ProcessId id;
        private final ManualTimer timer = new ManualTimer();
        private final UsageTask task;
        private final LeaderElection leaderElection;
        private boolean cutOff;
        private boolean killed;

        CountingProcess(String name) {
            id = new ProcessId(name);
            leaderElection = new LeaderElection(store, timer, new Random(1), name, 3_000);
            task = new UsageTask(
                    store,
                    new RecordingCloudApi(),
                    leaderElection,
                    timer,
                    id,
                    new RequestCounter(WINDOW_MILLIS),
                    LATE_MILLIS,
                    () -> new Timestamp(nowMillis * Timestamp.NANOS_PER_MILLI, nowMillis));
            task.setSender(this::send);
            processes.put(id, this);
            task.start();
        }

        private void send(ProcessId to, PeerMessage message) {
            CountingProcess other = processes.get(to);
            if (other == null || cutOff || other.cutOff || other.killed) {
                return;
            }
            if (message instanceof PeerMessage.RequestCountReport report) {
                task.onAcknowledged(to, other.task.onCounts(id, report.windows()));
            }
        }

        void countRequests(int requests) {
            for (int i = 0; i < requests; i++) {
                task.onRequestStarted(TEAM);
            }
        }

        void acquireLeadership() {
            leaderElection.start();
            timer.run(300);
        }

        /** Renews the lease, which fails if it is lost. */
        void renewLease() {
            timer.run(1_000);
        }
    }

    private final class RecordingCloudApi implements LeaderApi {
        @Override
        public void reportUsage(Claim _claim, long window, Map<TeamId, Long> counts, Consumer<Outcome> callback) {
            Map<TeamId, Long> previous = reported.put(window, counts);
            assertThat(previous == null || previous.equals(counts), is(true));
            callback.accept(Outcome.DONE);
        }

        @Override
        public void orderServers(Claim _claim, ServerOrder _order, Consumer<Outcome> callback) {
            callback.accept(Outcome.BUSY);
        }
    }

    private CountingProcess process(String name) {
        return new CountingProcess(name);
    }

    private void assignCollectors(CountingProcess... collectors) {
        List<ProcessId> ids = new ArrayList<>();
        for (CountingProcess collector : collectors) {
            ids.add(collector.id);
        }
        processes.values().forEach(process -> process.task.setCollectors(ids));
    }

    private void advanceMillis(long millis) {
        for (long elapsedMillis = 0; elapsedMillis < millis; elapsedMillis += TICK_MILLIS) {
            nowMillis += TICK_MILLIS;
            processes.values().stream()
                    .filter(process -> !process.killed)
                    .forEach(process -> process.timer.run(TICK_MILLIS));
        }
    }

    private Map<TeamId, Long> reportFor(long startMillis) {
        return reported.get(Math.floorDiv(startMillis, WINDOW_MILLIS));
    }

    @Test
    void reportsTheTotalsOfAllProcesses() {
        CountingProcess one = process("one");
        CountingProcess two = process("two");
        CountingProcess three = process("three");
        assignCollectors(one, two);
        three.acquireLeadership();
        one.countRequests(2);
        two.countRequests(3);
        three.countRequests(4);
        advanceMillis(WINDOW_MILLIS + 3_000);

        assertThat(reportFor(START_MILLIS), is(Map.of(TEAM, 9L)));
    }

    /** An entry for each process and window would cost 16 calls a second to the store with 78 processes. */
    @Test
    void writesNoEntryFromProcessesThatAreNotCollectors() {
        CountingProcess one = process("one");
        CountingProcess two = process("two");
        CountingProcess three = process("three");
        assignCollectors(one, two);
        three.countRequests(4);
        advanceMillis(WINDOW_MILLIS + 2_000);

        assertThat(store.keys(), not(empty()));
        assertThat(store.keys(), everyItem(not(startsWith("geraniumstand/usage/1000/three"))));
    }

    @Test
    void reportsCountsThatAKilledProcessHadSent() {
        CountingProcess one = process("one");
        CountingProcess two = process("two");
        CountingProcess three = process("three");
        assignCollectors(one, two);
        one.acquireLeadership();
        three.countRequests(4);
        advanceMillis(1_000);
        three.killed = true;
        advanceMillis(WINDOW_MILLIS + 3_000);

        assertThat(reportFor(START_MILLIS), is(Map.of(TEAM, 4L)));
    }

    @Test
    void writesOwnCountsWhenNoCollectorIsReachable() {
        CountingProcess one = process("one");
        CountingProcess two = process("two");
        CountingProcess three = process("three");
        assignCollectors(one, two);
        one.acquireLeadership();
        three.cutOff = true;
        three.countRequests(4);
        advanceMillis(WINDOW_MILLIS + 3_000);

        assertThat(reportFor(START_MILLIS), is(Map.of(TEAM, 4L)));
    }

    @Test
    void countsRequestsOnceWhenTheyAreAlsoSentToANewCollector() {
        CountingProcess one = process("one");
        CountingProcess two = process("two");
        CountingProcess three = process("three");
        CountingProcess four = process("four");
        assignCollectors(one, two);
        four.acquireLeadership();
        three.countRequests(4);
        advanceMillis(1_000);
        two.killed = true;
        assignCollectors(one, four);
        advanceMillis(WINDOW_MILLIS + 3_000);

        assertThat(reportFor(START_MILLIS), is(Map.of(TEAM, 4L)));
    }

    /**
     * All processes lose power in the middle of a window; the counts that were written shortly before must still be
     * reported.
     */
    @Test
    void reportsCountsThatWereWrittenBeforeAllProcessesWereLost() {
        CountingProcess one = process("one");
        CountingProcess two = process("two");
        assignCollectors(one, two);
        two.countRequests(4);
        advanceMillis(2_000);
        one.killed = true;
        two.killed = true;
        nowMillis += 1_500;
        CountingProcess next = process("next");
        assignCollectors(next);
        next.acquireLeadership();
        next.countRequests(1);
        advanceMillis(WINDOW_MILLIS + 1_000);

        assertThat(reportFor(START_MILLIS), is(Map.of(TEAM, 5L)));
    }

    @Test
    void writesUnacknowledgedCountsOnFlush() {
        CountingProcess one = process("one");
        CountingProcess two = process("two");
        assignCollectors(two);
        two.acquireLeadership();
        one.countRequests(3);
        one.task.flush();
        one.killed = true;
        advanceMillis(WINDOW_MILLIS + 3_000);

        assertThat(reportFor(START_MILLIS), is(Map.of(TEAM, 3L)));
    }

    @Test
    void removesTheCountEntriesThatAReportCovers() {
        CountingProcess one = process("one");
        assignCollectors(one);
        one.acquireLeadership();
        one.countRequests(3);
        advanceMillis(WINDOW_MILLIS + 4_000);

        assertThat(countEntries(), empty());
        assertThat(store.keys(), hasSize(lessThanOrEqualTo(6)));
        assertThat(reported.keySet().stream().filter(w -> w == 1_000).toList(), contains(1_000L));
    }

    /** Starts two collectors, of which the first is the leader, at a store that states its era. */
    private List<CountingProcess> startInFirstEra() {
        store.startEra(1);
        CountingProcess one = process("one");
        CountingProcess two = process("two");
        assignCollectors(one, two);
        one.acquireLeadership();
        return List.of(one, two);
    }

    /** Kills the leader of two processes; the other one becomes the only collector and the leader. */
    private void replaceLeader(List<CountingProcess> all) {
        all.get(0).killed = true;
        assignCollectors(all.get(1));
        all.get(1).acquireLeadership();
    }

    /** Returns the keys of the counts of the first window. */
    private List<String> countEntries() {
        return store.keys().stream()
                .filter(key -> key.startsWith("geraniumstand/usage/1000/"))
                .toList();
    }

    /** The copy lacks the record of the report and some of the counts in it. */
    @Test
    void windowReportedBeforeRestorationIsNotReportedAgainWhenAllProcessesWereKilled() {
        List<CountingProcess> all = startInFirstEra();
        all.get(1).countRequests(4);
        advanceMillis(2_000);
        FakeRevisionStore.Copy copy = store.copy();
        all.get(1).countRequests(5);
        advanceMillis(6_000);
        assertThat(reportFor(START_MILLIS), is(Map.of(TEAM, 9L)));
        all.forEach(process -> process.killed = true);
        store.restore(copy);
        CountingProcess next = process("next");
        assignCollectors(next);
        next.acquireLeadership();
        next.countRequests(1);
        advanceMillis(WINDOW_MILLIS + 5_000);

        assertThat(reportFor(START_MILLIS), is(Map.of(TEAM, 9L)));
        assertThat(reportFor(START_MILLIS + WINDOW_MILLIS), is(Map.of(TEAM, 1L)));
    }

    @Test
    void windowReportedBeforeRestorationIsNotReportedAgainByTheNextLeader() {
        List<CountingProcess> all = startInFirstEra();
        all.get(0).countRequests(4);
        advanceMillis(2_000);
        FakeRevisionStore.Copy copy = store.copy();
        all.get(0).countRequests(5);
        advanceMillis(6_000);
        assertThat(reportFor(START_MILLIS), is(Map.of(TEAM, 9L)));
        store.restore(copy);
        replaceLeader(all);
        advanceMillis(WINDOW_MILLIS + 5_000);

        assertThat(reportFor(START_MILLIS), is(Map.of(TEAM, 9L)));
    }

    @Test
    void windowReportedBeforeTwoRestorationsIsNotReportedAgain() {
        List<CountingProcess> all = startInFirstEra();
        all.get(0).countRequests(4);
        advanceMillis(2_000);
        FakeRevisionStore.Copy copy = store.copy();
        all.get(0).countRequests(5);
        advanceMillis(6_000);
        store.restore(copy);
        advanceMillis(500);
        store.restore(copy);
        replaceLeader(all);
        advanceMillis(WINDOW_MILLIS + 5_000);

        assertThat(reportFor(START_MILLIS), is(Map.of(TEAM, 9L)));
    }

    /** The first write of the totals gets no answer, and its condition holds again after the restoration. */
    @Test
    void delayedWriteOfAnEarlierEraIsNotReported() {
        List<CountingProcess> all = startInFirstEra();
        all.get(0).countRequests(4);
        advanceMillis(6_000);
        FakeRevisionStore.Copy copy = store.copy();
        store.delayCommit("geraniumstand/report/1000");
        advanceMillis(1_250);
        store.write("geraniumstand/usage/1000/late", "{\"late\":{\"shops\":2}}");
        advanceMillis(750);
        assertThat(reportFor(START_MILLIS), is(Map.of(TEAM, 6L)));
        store.restore(copy);
        store.executeDelayedCommits();
        replaceLeader(all);
        advanceMillis(WINDOW_MILLIS);

        assertThat(reportFor(START_MILLIS), is(Map.of(TEAM, 6L)));
    }

    /** A total that was written before counts as written although the copy lacks it. */
    @Test
    void reportsCountsThatTheCopyLacks() {
        List<CountingProcess> all = startInFirstEra();
        FakeRevisionStore.Copy copy = store.copy();
        all.get(1).countRequests(4);
        advanceMillis(6_250);
        store.restore(copy);
        all.get(0).renewLease();
        all.get(0).acquireLeadership();
        advanceMillis(3_750);

        assertThat(reportFor(START_MILLIS), is(Map.of(TEAM, 4L)));
    }

    @Test
    void leaderWritesTotalsAgainAfterRestoration() {
        List<CountingProcess> all = startInFirstEra();
        FakeRevisionStore.Copy copy = store.copy();
        all.get(0).countRequests(4);
        advanceMillis(8_000);
        store.restore(copy);
        advanceMillis(500);

        assertThat(store.value("geraniumstand/report/1000").isPresent(), is(true));
    }

    /** The record of the window is known, so that the entries are not summed and removed a second time. */
    @Test
    void removesCountEntriesThatTheCopyBroughtBack() {
        List<CountingProcess> all = startInFirstEra();
        all.get(1).countRequests(4);
        advanceMillis(6_250);
        FakeRevisionStore.Copy copy = store.copy();
        advanceMillis(1_750);
        store.restore(copy);
        all.get(0).renewLease();
        all.get(0).acquireLeadership();
        advanceMillis(4 * WINDOW_MILLIS);

        assertThat(countEntries(), empty());
    }
}
