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
    void grantsOneOfTwoProcesses() {
        List<ClaimResult.Kind> told = new ArrayList<>();
        open(first, wish("k", "t1", P1), told);
        open(second, wish("k", "t2", P2), told);
        run(1_000);

        assertThat(told, contains(ClaimResult.Kind.GRANTED));
    }

    @Test
    void givesWaitingRequestTheRecordedAnswer() {
        List<ClaimResult.Kind> told = new ArrayList<>();
        ClaimChange wish = wish("k", "t1", P1);
        open(first, wish, told);
        run(500);
        open(second, wish("k", "t2", P2), told);
        run(1_000);
        first.settle(wish.settle(ClaimChange.Kind.ANSWERED, new RecordedAnswer(201, "", "", "", true)));
        run(2_000);

        assertThat(told, contains(ClaimResult.Kind.GRANTED, ClaimResult.Kind.REPLAY));
        assertThat(first.unsettled(), is(0));
    }

    @Test
    void stopsWaitingWhenHolderIsGone() {
        List<ClaimResult.Kind> told = new ArrayList<>();
        open(first, wish("k", "t1", P1), told);
        run(500);
        peers.end(P1);
        open(second, wish("k", "t2", P2), told);
        run(1_500);

        assertThat(told, contains(ClaimResult.Kind.GRANTED, ClaimResult.Kind.IN_FLIGHT));
    }

    @Test
    void writesItselfWhenUsualWriterDoesNotAnswer() {
        peers.cut();
        List<ClaimResult.Kind> told = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            open(first, wish("k" + i, "t" + i, P1), told);
        }
        run(1_000);

        assertThat(told, hasSize(10));
        assertThat(told.stream().distinct().toList(), contains(ClaimResult.Kind.GRANTED));
    }

    @Test
    void refusesAtOnceWhileStoreIsKnownToBeOut() {
        store.out(true);
        List<ClaimResult.Kind> told = new ArrayList<>();
        open(first, wish("k1", "t1", P1), told);
        run(4_000);
        assertThat(told, contains(ClaimResult.Kind.UNAVAILABLE));
        int calls = store.calls();
        nowMillis = 3_500;
        open(first, wish("k2", "t2", P1), told);
        timer.runUntil(4_001);

        assertThat(told, contains(ClaimResult.Kind.UNAVAILABLE, ClaimResult.Kind.UNAVAILABLE));
        assertThat(store.calls() - calls, lessThan(3));
    }

    /**
     * Guards against a fault in which two consecutive failed store calls made all processes refuse all orders for a
     * second.
     */
    @Test
    void grantsClaimsAcrossAShortFailureOfTheStore() {
        store.refuse(2);
        List<ClaimResult.Kind> told = new ArrayList<>();
        open(first, wish("k1", "t1", P1), told);
        open(second, wish("k2", "t2", P2), told);
        run(500);
        open(first, wish("k3", "t3", P1), told);
        open(second, wish("k4", "t4", P2), told);
        run(1_000);

        assertThat(told, hasSize(4));
        assertThat(told.stream().distinct().toList(), contains(ClaimResult.Kind.GRANTED));
    }

    @Test
    void recordsEndOfOrderAfterOutage() {
        List<ClaimResult.Kind> told = new ArrayList<>();
        ClaimChange wish = wish("k", "t1", P1);
        open(first, wish, told);
        run(500);
        store.out(true);
        first.settle(wish.settle(ClaimChange.Kind.ANSWERED, new RecordedAnswer(201, "", "", "", true)));
        run(10_000);
        assertThat(first.unsettled(), is(1));
        store.out(false);
        run(20_000);

        assertThat(first.unsettled(), is(0));
    }

    @Test
    void neverGrantsOneKeyTwiceWhileStoreFails() {
        store.faults(0.3);
        for (int key = 0; key < 40; key++) {
            List<ClaimResult.Kind> told = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                ClaimTask task = i % 2 == 0 ? first : second;
                open(task, wish("k" + key, "t" + key + "-" + i, i % 2 == 0 ? P1 : P2), told);
                run(nowMillis + 50);
            }
            run(nowMillis + 15_000);

            assertThat(
                    told.stream()
                            .filter(ClaimResult.Kind.GRANTED::equals)
                            .toList()
                            .size(),
                    lessThan(2));
            assertThat(told, hasSize(4));
        }
    }

    @Test
    void writesConcurrentClaimsOfSlotTogether() {
        List<ClaimResult.Kind> told = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            open(i % 2 == 0 ? first : second, wish("k", "t" + i, P1), told);
        }
        assertThat(told, empty());
        run(40);

        assertThat(store.calls(), lessThan(12));
    }

    private void open(ClaimTask task, ClaimChange wish, List<ClaimResult.Kind> told) {
        task.open(wish, TimeUnit.MILLISECONDS.toNanos(nowMillis) + DEADLINE, verdict -> told.add(verdict.kind()));
    }

    private void run(long untilMillis) {
        while (nowMillis < untilMillis) {
            nowMillis = Math.min(untilMillis, nowMillis + 10);
            timer.runUntil(nowMillis);
        }
    }

    private static ClaimChange wish(String key, String token, ProcessId holder) {
        return new ClaimChange(ClaimChange.Kind.OPEN, key, "f", token, holder, RecordedAnswer.NONE);
    }
}
