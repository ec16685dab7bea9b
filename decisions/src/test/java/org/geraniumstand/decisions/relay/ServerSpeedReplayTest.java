package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

/**
 * Replays servers whose hosts turn slow and recover by turns. 70 processes hear how slow a host is from the answers that
 * they get themselves and, 100 to 400 ms later, from each other.
 */
final class ServerSpeedReplayTest {
    private static final int SEEDS = 3;

    private static ServerSpeedReplay plain(int callsPerSecond, long seed) {
        return new ServerSpeedReplay(Calls.PLAIN_SERVICE, 6, callsPerSecond, seed);
    }

    private static ServerSpeedReplay engines(int callsPerSecond, long seed) {
        return new ServerSpeedReplay(Calls.ENGINE_SERVICE, 20, callsPerSecond, seed);
    }

    /**
     * Load: 1,000 calls a second of 20 ms at 6 plain servers with 6 slots, of which each is 2.5 times as slow in 15 of 100
     * spells of 600 ms. A call is on time if its answer begins within 45 ms.
     */
    @Test
    void callsAvoidPlainServersThatAreSlowNow() {
        double slowShare = 0;
        double onTime = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            ServerSpeedReplay replay = plain(1_000, seed);
            replay.slowBySpells();
            replay.run(10_000);
            slowShare += replay.shareToSlowServers() / SEEDS;
            onTime += replay.shareOnTime(45) / SEEDS;
            assertThat("busiest server within 100 ms, against the mean", replay.busiestToMean(), lessThan(1.6));
        }

        assertThat("share of calls to slow servers; an even spread gives 0.15", slowShare, lessThan(0.082));
        assertThat("share on time", onTime, greaterThan(0.925));
    }

    /** Load: 600 calls a second; one of 6 plain servers is 2.5 times as slow from second 3 to second 6. */
    @Test
    void serverThatRecoversIsUsedAgain() {
        ServerSpeedReplay replay = plain(600, 1);
        replay.slowFrom(0, 3_000, 6_000);
        replay.run(9_000);

        double slow = replay.shareTo(0, millis -> millis >= 3_500 && millis < 6_000);
        double after = replay.shareTo(0, millis -> millis >= 6_500);

        assertThat("share while slow", slow, lessThan(0.1));
        assertThat("share while slow", slow, greaterThan(0.0));
        assertThat("share after it recovered", after, greaterThan(0.13));
        assertThat("share after it recovered", after, lessThan(0.22));
    }

    /**
     * Load: 20 engines read prompts of 500 to 9,000 tokens that share nothing, at 40 tokens a millisecond and half of
     * what they can read; their hosts are slow by turns as above. A call is on time if its answer begins within 600 ms.
     */
    @Test
    void promptsGoToEnginesThatReadThemSoon() {
        double onTime = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            ServerSpeedReplay replay = engines(70, seed);
            replay.slowBySpells();
            replay.run(10_000);
            onTime += replay.shareOnTime(600) / SEEDS;
            // Within 500 ms an engine gets 2 calls; drawn at random, the busiest of 20 gets some 5.
            assertThat("busiest engine within 500 ms, against the mean", replay.busiestToMean(), lessThan(3.5));
        }

        assertThat("share on time", onTime, greaterThan(0.94));
    }
}
