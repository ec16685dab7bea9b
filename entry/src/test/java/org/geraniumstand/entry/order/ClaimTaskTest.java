package org.geraniumstand.entry.order;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.decisions.orders.ClaimChange;
import org.geraniumstand.decisions.orders.ClaimResult;
import org.geraniumstand.decisions.orders.RecordedAnswer;
import org.geraniumstand.entry.task.FakeStore;
import org.geraniumstand.entry.task.VirtualTimer;
import org.geraniumstand.model.id.ProcessId;
import org.junit.jupiter.api.Test;

final class ClaimTaskTest {
    private static final long SEED = 20261204;
    private static final ProcessId P1 = new ProcessId("p1");
    private static final ProcessId P2 = new ProcessId("p2");
    private static final long DEADLINE = TimeUnit.SECONDS.toNanos(10);

    private final VirtualTimer timer = new VirtualTimer();
    private final FakeStore store = new FakeStore(timer, new Random(SEED));
    private final FakePeers peers = new FakePeers(timer);
    private final ClaimTask first = task(P1);
    private final ClaimTask second = task(P2);
    private long nowMillis;

    private ClaimTask task(ProcessId id) {
        return ClaimTask.create(
                id,
                peers.join(id),
                store,
                "claims/",
                timer,
                () -> TimeUnit.MILLISECONDS.toNanos(nowMillis),
                () -> nowMillis);
    }

    @Test
    void grantsClaimToOneOfTwoProcesses() {
        List<ClaimResult.Kind> results = new ArrayList<>();
        open(first, change("k", "t1", P1), results);
        open(second, change("k", "t2", P2), results);
        run(1_000);

        assertThat(results, contains(ClaimResult.Kind.GRANTED));
    }

    @Test
    void waitingRequestReceivesRecordedAnswer() {
        List<ClaimResult.Kind> results = new ArrayList<>();
        ClaimChange change = change("k", "t1", P1);
        open(first, change, results);
        run(500);
        open(second, change("k", "t2", P2), results);
        run(1_000);
        first.settle(change.settle(ClaimChange.Kind.ANSWERED, new RecordedAnswer(201, "", "", "", true)));
        run(2_000);

        assertThat(results, contains(ClaimResult.Kind.GRANTED, ClaimResult.Kind.REPLAY));
        assertThat(first.unsettled(), is(0));
    }

    @Test
    void stopsWaitingWhenHolderIsNoLongerMember() {
        List<ClaimResult.Kind> results = new ArrayList<>();
        open(first, change("k", "t1", P1), results);
        run(500);
        peers.end(P1);
        open(second, change("k", "t2", P2), results);
        run(1_500);

        assertThat(results, contains(ClaimResult.Kind.GRANTED, ClaimResult.Kind.IN_FLIGHT));
    }

    @Test
    void writesClaimItselfWhenPreferredWriterDoesNotReply() {
        peers.partition();
        List<ClaimResult.Kind> results = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            open(first, change("k" + i, "t" + i, P1), results);
        }
        run(1_000);

        assertThat(results, hasSize(10));
        assertThat(results.stream().distinct().toList(), contains(ClaimResult.Kind.GRANTED));
    }

    @Test
    void rejectsClaimsImmediatelyDuringStoreCooldown() {
        store.setUnavailable(true);
        List<ClaimResult.Kind> results = new ArrayList<>();
        open(first, change("k1", "t1", P1), results);
        run(4_000);
        assertThat(results, contains(ClaimResult.Kind.UNAVAILABLE));
        int calls = store.calls();
        nowMillis = 3_500;
        open(first, change("k2", "t2", P1), results);
        timer.runUntil(4_001);

        assertThat(results, contains(ClaimResult.Kind.UNAVAILABLE, ClaimResult.Kind.UNAVAILABLE));
        assertThat(store.calls() - calls, lessThan(3));
    }

    /**
     * Guards against a fault in which two consecutive failed store calls made all processes refuse all orders for a
     * second.
     */
    @Test
    void grantsClaimsDespiteTwoFailedStoreCalls() {
        store.failNext(2);
        List<ClaimResult.Kind> results = new ArrayList<>();
        open(first, change("k1", "t1", P1), results);
        open(second, change("k2", "t2", P2), results);
        run(500);
        open(first, change("k3", "t3", P1), results);
        open(second, change("k4", "t4", P2), results);
        run(1_000);

        assertThat(results, hasSize(4));
        assertThat(results.stream().distinct().toList(), contains(ClaimResult.Kind.GRANTED));
    }

    @Test
    void recordsEndOfOrderAfterOutage() {
        List<ClaimResult.Kind> results = new ArrayList<>();
        ClaimChange change = change("k", "t1", P1);
        open(first, change, results);
        run(500);
        store.setUnavailable(true);
        first.settle(change.settle(ClaimChange.Kind.ANSWERED, new RecordedAnswer(201, "", "", "", true)));
        run(10_000);
        assertThat(first.unsettled(), is(1));
        store.setUnavailable(false);
        run(20_000);

        assertThat(first.unsettled(), is(0));
    }

    @Test
    void grantsEachKeyAtMostOnceWhileStoreFails() {
        store.setFaultRate(0.3);
        for (int key = 0; key < 40; key++) {
            List<ClaimResult.Kind> results = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                ClaimTask task = i % 2 == 0 ? first : second;
                open(task, change("k" + key, "t" + key + "-" + i, i % 2 == 0 ? P1 : P2), results);
                run(nowMillis + 50);
            }
            run(nowMillis + 15_000);

            assertThat(
                    results.stream()
                            .filter(ClaimResult.Kind.GRANTED::equals)
                            .toList()
                            .size(),
                    lessThan(2));
            assertThat(results, hasSize(4));
        }
    }

    @Test
    void groupsConcurrentClaimsOfSlotIntoFewWrites() {
        List<ClaimResult.Kind> results = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            open(i % 2 == 0 ? first : second, change("k", "t" + i, P1), results);
        }
        assertThat(results, empty());
        run(40);

        assertThat(store.calls(), lessThan(12));
    }

    private void open(ClaimTask task, ClaimChange change, List<ClaimResult.Kind> results) {
        task.open(change, TimeUnit.MILLISECONDS.toNanos(nowMillis) + DEADLINE, result -> results.add(result.kind()));
    }

    private void run(long untilMillis) {
        while (nowMillis < untilMillis) {
            nowMillis = Math.min(untilMillis, nowMillis + 10);
            timer.runUntil(nowMillis);
        }
    }

    private static ClaimChange change(String key, String token, ProcessId holder) {
        return new ClaimChange(ClaimChange.Kind.OPEN, key, "f", token, holder, RecordedAnswer.NONE);
    }
}
