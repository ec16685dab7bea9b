package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.geraniumstand.decisions.relay.CrowdedServers.Kind;
import org.geraniumstand.decisions.relay.CrowdedServers.Result;
import org.junit.jupiter.api.Test;

/** Replays load for which 70 processes have too little room. */
final class TurningAwayReplayTest {
    private static final int ENGINES = 5;

    /** Calls a second that the engines serve. */
    private static final int ROOM = 160;

    private static List<Kind> teams(int perSecond, int floodPerSecond) {
        List<Kind> load = new ArrayList<>();
        load.add(new Kind("flood", 0, 1_000, floodPerSecond, true));
        for (int i = 0; i < 3; i++) {
            load.add(new Kind("team-" + i, 0, 1_000, perSecond, false));
        }
        return load;
    }

    /** Four teams want nine tenths of the room; then one sends 8 times its usual and its callers come back at once. */
    @Test
    void teamThatSendsEightTimesItsUsualTakesNoRoomFromOthers() {
        int perSecond = ROOM * 9 / 40;
        Map<Kind, Result> usual = new CrowdedServers(ENGINES, 1).run(teams(perSecond, perSecond));
        Map<Kind, Result> flooded = new CrowdedServers(ENGINES, 1).run(teams(perSecond, 8 * perSecond));

        for (Kind kind : teams(perSecond, 0).subList(1, 4)) {
            assertThat(
                    kind.team(),
                    flooded.get(kind).share(),
                    greaterThanOrEqualTo(0.95 * usual.get(kind).share()));
        }
    }

    /** Each of four teams wants just its share, in some seconds more: the others keep what they have together. */
    @Test
    void teamThatSendsEightTimesItsShareTakesNoRoomFromOthersTogether() {
        int perSecond = ROOM / 4;
        Map<Kind, Result> usual = new CrowdedServers(ENGINES, 1).run(teams(perSecond, perSecond));
        Map<Kind, Result> flooded = new CrowdedServers(ENGINES, 1).run(teams(perSecond, 8 * perSecond));

        assertThat(servedOfOthers(flooded), greaterThanOrEqualTo(0.95 * servedOfOthers(usual)));
    }

    private static double servedOfOthers(Map<Kind, Result> results) {
        return results.entrySet().stream()
                        .filter(entry -> !entry.getKey().team().equals("flood"))
                        .mapToInt(entry -> entry.getValue().served)
                        .sum()
                / (double) results.entrySet().stream()
                        .filter(entry -> !entry.getKey().team().equals("flood"))
                        .mapToInt(entry -> entry.getValue().arrived)
                        .sum();
    }

    /** Two teams of the same rank, of which one uses little: the other gets what is left. */
    @Test
    void teamMayHaveWhatNobodyElseWants() {
        Kind small = new Kind("small", 0, 1_000, 16, false);
        Kind large = new Kind("large", 0, 1_000, 2 * ROOM, false);
        Map<Kind, Result> results = new CrowdedServers(ENGINES, 2).run(List.of(small, large));

        assertThat(results.get(small).share(), greaterThan(0.95));
        assertThat(CrowdedServers.sum(results, r -> r.served), greaterThan(6L * ROOM * 85 / 100));
    }

    /** Each of two ranks wants three quarters of the engines; the urgent one is small enough to be served whole. */
    @Test
    void higherRankIsServedBeforeLower() {
        Kind high = new Kind("a", 0, 1_000, ROOM * 3 / 4, false);
        Kind low = new Kind("a", 2, 1_000, ROOM * 3 / 4, false);
        Map<Kind, Result> results = new CrowdedServers(ENGINES, 3).run(List.of(high, low));

        assertThat(results.get(high).share(), greaterThan(0.95));
        assertThat(CrowdedServers.sum(results, r -> r.served), greaterThan(6L * ROOM * 85 / 100));
    }

    /** Twice what fits arrives, a quarter of it with prompts 8 times as long. */
    @Test
    void servesLargeAndSmallCalls() {
        Kind large = new Kind("a", 0, 8_000, ROOM / 2, false);
        Kind small = new Kind("a", 0, 1_000, ROOM * 3 / 2, false);
        Map<Kind, Result> results = new CrowdedServers(ENGINES, 4).run(List.of(large, small));
        double largeShare = results.get(large).share();
        double smallShare = results.get(small).share();

        assertThat(Math.min(largeShare, smallShare) / Math.max(largeShare, smallShare), greaterThan(0.5));
    }

    /** Half of ten engines are lost at full demand. */
    @Test
    void refusesEarlyAndSpreadsReturnsWhenHalfOfTheRoomIsGone() {
        Kind kind = new Kind("a", 0, 1_000, 2 * ROOM, false);
        Result result = new CrowdedServers(2 * ENGINES, 5)
                .run(List.of(kind), 4_000, ENGINES)
                .get(kind);
        Map<Long, Integer> returns = new HashMap<>();
        result.returns.forEach(millis -> returns.merge(millis / 100, 1, Integer::sum));

        assertThat(result.refusedAtDeadline, is(0));
        assertThat(result.returns.size(), greaterThan(100));
        int most = returns.values().stream().max(Integer::compare).orElseThrow();
        assertThat(most, lessThan(3 * result.returns.size() / returns.size()));
        long late = result.waitedBeforeRefusal.stream()
                .filter(millis -> millis > CrowdedServers.PATIENCE_MILLIS * 2 / 3)
                .count();
        assertThat((double) late / result.waitedBeforeRefusal.size(), lessThan(0.05));
    }
}
