package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.CallKind;
import org.geraniumstand.model.relay.PromptPart;
import org.geraniumstand.model.relay.RelayTeam;
import org.junit.jupiter.api.Test;

/** Orders calls of several ranks, teams and sizes while places come free one by one. */
final class CallQueueOrderTest {
    private static final int TOKENS = 1_000;

    private final CallQueue queue = new CallQueue();

    private static RelayCall call(long number, int rank, String team, int tokens) {
        RelayTeam owner = new RelayTeam(new TeamId(team), List.of(), OptionalInt.empty(), true, 200, 0, 0);
        return new RelayCall(
                number,
                Calls.head("attempt-" + number, new PromptPart(number, tokens)),
                Calls.route(CallKind.STREAM, true, 2, rank),
                Optional.of(owner),
                number * Calls.MILLI,
                5_000 * Calls.MILLI);
    }

    private List<RelayCall> order(long nowNanos) {
        List<RelayCall> order = new ArrayList<>();
        queue.dispatchWhile(nowNanos, () -> true, order::add);
        return order;
    }

    @Property
    void ranksGoInOrderAndNoCallIsLost(@ForAll @Size(max = 40) List<@IntRange(max = 59) Integer> kinds) {
        CallQueue calls = new CallQueue();
        for (int i = 0; i < kinds.size(); i++) {
            int kind = kinds.get(i);
            calls.add(call(i, kind % 3, "team-" + kind / 3 % 4, TOKENS * (1 + kind / 12)));
        }
        List<RelayCall> order = new ArrayList<>();
        calls.dispatchWhile(0, () -> true, order::add);

        assertThat(order.size(), is(kinds.size()));
        assertThat(calls.size(), is(0));
        for (int i = 1; i < order.size(); i++) {
            assertThat(
                    order.get(i - 1).priority(), lessThanOrEqualTo(order.get(i).priority()));
        }
    }

    /** One team has 50 calls in line when another one's arrives. */
    @Test
    void teamsTakeTurns() {
        for (int i = 0; i < 50; i++) {
            queue.add(call(i, 0, "flood", TOKENS));
        }
        queue.add(call(50, 0, "small", TOKENS));

        assertThat(order(0).get(1).number(), is(50L));
    }

    /** One team sends calls four times as large as the other's: it gets as much work, not as many calls. */
    @Test
    void teamsShareByWork() {
        for (int i = 0; i < 40; i++) {
            queue.add(call(2L * i, 0, "large", 4 * TOKENS));
            queue.add(call(2L * i + 1, 0, "small", TOKENS));
        }
        Map<String, Integer> first = new HashMap<>();
        order(0).subList(0, 25).forEach(call -> first.merge(WaitingLine.team(call), 1, Integer::sum));

        assertThat(first, is(Map.of("large", 5, "small", 20)));
    }

    /** Servers come back after an outage in which the calls of the highest rank became late. */
    @Test
    void lateCallsLetOneOfALowerRankPass() {
        queue.add(call(1, 0, "shops", TOKENS));
        queue.add(call(2, 0, "shops", TOKENS));
        queue.add(call(700, 2, "shops", TOKENS));
        queue.add(call(701, 2, "shops", TOKENS));
        List<Long> order = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            int places = i + 1;
            queue.dispatchWhile(650 * Calls.MILLI, () -> order.size() < places, call -> order.add(call.number()));
        }

        assertThat(order, contains(700L, 1L, 2L, 701L));
    }

    /** Of 1,000 waiting calls, one place is free. */
    @Test
    void offersNoMoreCallsThanThereArePlaces() {
        for (int i = 0; i < 1_000; i++) {
            queue.add(call(i, i % 3, "team-" + i % 10, TOKENS));
        }
        List<Long> offered = new ArrayList<>();
        queue.dispatchWhile(0, offered::isEmpty, call -> offered.add(call.number()));

        assertThat(offered, contains(0L));
    }
}
