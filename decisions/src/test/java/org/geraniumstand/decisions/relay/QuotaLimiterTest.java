package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.QuotaLevels;
import org.geraniumstand.model.relay.RelayTeam;
import org.geraniumstand.model.relay.TeamLevel;
import org.geraniumstand.model.relay.TeamUsage;
import org.junit.jupiter.api.Test;

final class QuotaLimiterTest {
    private static final long SECOND = 1_000 * Calls.MILLI;
    private static final ProcessId AGGREGATOR = new ProcessId("hub");
    private static final ProcessId SECOND_AGGREGATOR = new ProcessId("second-hub");

    private final ProcessCount processes = new ProcessCount(1, 0);
    private final QuotaLimiter limiter = new QuotaLimiter(0, 0, processes, new Random(1));

    private QuotaLimiter withTeam() {
        limiter.onTeams(List.of(Calls.TEAM), 0);
        return limiter;
    }

    @Test
    void admitsRequestWithinBurst() {
        assertThat(withTeam().tryAcquire(Calls.TEAM, 1_000, SECOND), is(OptionalLong.empty()));
    }

    @Test
    void refusesRequestBeyondBurstWithRetryDelay() {
        withTeam().tryAcquire(Calls.TEAM, 1_000, SECOND);

        assertThat(limiter.tryAcquire(Calls.TEAM, 500, SECOND), is(OptionalLong.of(500)));
        assertThat(limiter.tryAcquire(Calls.TEAM, 500, SECOND + SECOND / 2), is(OptionalLong.empty()));
    }

    @Test
    void countsUsageOfOtherProcesses() {
        processes.onLive(2, 0);
        withTeam().onAggregators(List.of(AGGREGATOR));
        limiter.onRemoteUsage(AGGREGATOR, usage(0), 2, QuotaLevels.NONE, SECOND);
        limiter.tryAcquire(Calls.TEAM, 1, SECOND);
        limiter.onRemoteUsage(AGGREGATOR, usage(900), 2, QuotaLevels.NONE, SECOND);

        assertThat(limiter.tryAcquire(Calls.TEAM, 500, SECOND).isPresent(), is(true));
    }

    @Test
    void refundsRequestThatDidNotRun() {
        withTeam().tryAcquire(Calls.TEAM, 1_000, SECOND);
        limiter.refund(Calls.TEAM, 1_000);

        assertThat(limiter.tryAcquire(Calls.TEAM, 1_000, SECOND), is(OptionalLong.empty()));
        assertThat(limiter.localUsage().get(0).units(), is(1_000L));
    }

    @Test
    void usesEqualShareWhileOtherProcessDoesNotReport() {
        processes.onLive(2, 0);
        withTeam().onAggregators(List.of(AGGREGATOR));
        limiter.tryAcquire(Calls.TEAM, 500, 2 * SECOND);
        long admitted = 0;
        for (long at = 2 * SECOND; at < 12 * SECOND; at += SECOND / 10) {
            admitted += limiter.tryAcquire(Calls.TEAM, 50, at).isEmpty() ? 50 : 0;
        }

        assertThat(admitted, lessThanOrEqualTo(1_000L + 10 * 1_000 / 2));
    }

    /** A team sends five times its quota through two processes that exchange their usage five times a second. */
    @Test
    void keepsTeamWithinQuotaOverTwoProcesses() {
        processes.onLive(2, 0);
        QuotaLimiter first = new QuotaLimiter(0, 0, processes, new Random(1));
        QuotaLimiter second = new QuotaLimiter(0, 0, processes, new Random(1));
        QuotaUsageSums sums = new QuotaUsageSums();
        ProcessId one = new ProcessId("one");
        ProcessId two = new ProcessId("two");
        first.onTeams(List.of(Calls.TEAM), 0);
        second.onTeams(List.of(Calls.TEAM), 0);
        first.onAggregators(List.of(AGGREGATOR));
        second.onAggregators(List.of(AGGREGATOR));
        long admitted = 0;
        for (int step = 0; step < 800; step++) {
            long now = step * SECOND / 100;
            admitted += first.tryAcquire(Calls.TEAM, 25, now).isEmpty() ? 25 : 0;
            admitted += second.tryAcquire(Calls.TEAM, 25, now).isEmpty() ? 25 : 0;
            if (step % 20 == 0) {
                sums.onReport(one, first.localUsage(), Optional.empty(), now);
                sums.onReport(two, second.localUsage(), Optional.empty(), now);
                first.onRemoteUsage(AGGREGATOR, sums.sumExcluding(one), 2, QuotaLevels.NONE, now);
                second.onRemoteUsage(AGGREGATOR, sums.sumExcluding(two), 2, QuotaLevels.NONE, now);
            }
        }

        long quota = 8 * 1_000 + 1_000;
        assertThat(admitted, lessThanOrEqualTo(Math.round(quota * 1.1)));
        assertThat(admitted, greaterThan(Math.round(quota * 0.8)));
    }

    @Test
    void totalsUsageOfAllProcesses() {
        withTeam().tryAcquire(Calls.TEAM, 10, SECOND);
        processes.onLive(2, 0);
        limiter.onAggregators(List.of(AGGREGATOR));
        limiter.onRemoteUsage(AGGREGATOR, List.of(), 2, QuotaLevels.NONE, SECOND);
        limiter.onRemoteUsage(AGGREGATOR, usage(30), 2, QuotaLevels.NONE, SECOND);

        assertThat(limiter.totalUsage(), is(40L));
    }

    @Test
    void readsTeamsThatAreNearTheirQuota() {
        withTeam();

        assertThat(limiter.readings(SECOND), is(List.of()));

        limiter.tryAcquire(Calls.TEAM, 900, SECOND);

        assertThat(limiter.readings(SECOND), is(List.of(new QuotaReading(Calls.TEAM.id(), 100, 900, 0))));
    }

    @Test
    void ignoresUsageBeforeFirstSumsOfAggregator() {
        processes.onLive(2, 0);
        withTeam().onAggregators(List.of(AGGREGATOR));
        limiter.onRemoteUsage(AGGREGATOR, usage(5_000), 2, QuotaLevels.NONE, SECOND);

        assertThat(limiter.tryAcquire(Calls.TEAM, 1_000, SECOND), is(OptionalLong.empty()));
    }

    @Test
    void countsUsageReportedByTwoAggregatorsOnce() {
        processes.onLive(3, 0);
        withTeam().onAggregators(List.of(AGGREGATOR, SECOND_AGGREGATOR));
        limiter.onRemoteUsage(AGGREGATOR, usage(100), 3, QuotaLevels.NONE, SECOND);
        limiter.onRemoteUsage(SECOND_AGGREGATOR, usage(40), 3, QuotaLevels.NONE, SECOND);
        limiter.onRemoteUsage(AGGREGATOR, usage(600), 3, QuotaLevels.NONE, SECOND);
        limiter.onRemoteUsage(SECOND_AGGREGATOR, usage(540), 3, QuotaLevels.NONE, SECOND);

        assertThat(limiter.totalUsage(), is(500L));
    }

    @Test
    void failsOverToSecondAggregator() {
        processes.onLive(3, 0);
        withTeam().onAggregators(List.of(AGGREGATOR, SECOND_AGGREGATOR));
        limiter.onRemoteUsage(AGGREGATOR, usage(100), 3, QuotaLevels.NONE, SECOND);
        limiter.onRemoteUsage(SECOND_AGGREGATOR, usage(40), 3, QuotaLevels.NONE, SECOND);
        limiter.onRemoteUsage(SECOND_AGGREGATOR, usage(240), 3, QuotaLevels.NONE, 2 * SECOND);

        assertThat(limiter.totalUsage(), is(200L));
    }

    @Test
    void ignoresSumsOfProcessThatIsNotAnAggregator() {
        processes.onLive(2, 0);
        withTeam().onAggregators(List.of(AGGREGATOR));
        limiter.onRemoteUsage(SECOND_AGGREGATOR, usage(0), 2, QuotaLevels.NONE, SECOND);
        limiter.onRemoteUsage(SECOND_AGGREGATOR, usage(900), 2, QuotaLevels.NONE, SECOND);

        assertThat(limiter.totalUsage(), is(0L));
    }

    /**
     * All 95 processes restart at once and receive no sums for two seconds, while a team requests four times its rate.
     * Within the window of eight seconds the team has used its rate for six; the expected limit is the remaining rate
     * plus the allowed overrun and slack.
     */
    @Test
    void staysWithinLimitWhileAllProcessesStartWithoutSums() {
        RelayTeam team = new RelayTeam(new TeamId("hot"), List.of("k"), OptionalInt.empty(), true, 0, 150_000, 150_000);
        double allowed = (150_000 * 8 + 150_000) * 1.1 + 110_000 - 150_000 * 6;
        int cost = 9_190;
        List<QuotaLimiter> limiters = new ArrayList<>();
        for (int i = 0; i < 95; i++) {
            ProcessCount starting = new ProcessCount(1, 0);
            starting.onRegistered(95, 0);
            QuotaLimiter processLimiter = new QuotaLimiter(110_000, 0.1, starting, new Random(i));
            processLimiter.onTeams(List.of(team), 0);
            limiters.add(processLimiter);
        }
        Random random = new Random(7);
        long admitted = 0;
        int requests = 4 * 150_000 * 2 / cost;
        for (int i = 0; i < requests; i++) {
            QuotaLimiter processLimiter = limiters.get(random.nextInt(limiters.size()));
            admitted += processLimiter
                            .tryAcquire(team, cost, i * 2L * SECOND / requests)
                            .isEmpty()
                    ? cost
                    : 0;
        }

        assertThat((double) admitted, lessThanOrEqualTo(allowed));
    }

    /** The debt of a team with a small burst was cut before it reached the slack, so that nothing was ever refused. */
    @Test
    void refusesTeamWhoseSlackIsLargerThanItsBurst() {
        RelayTeam team = new RelayTeam(new TeamId("small"), List.of("k"), OptionalInt.empty(), true, 0, 10_000, 10_000);
        QuotaLimiter alone = new QuotaLimiter(110_000, 0.1, processes, new Random(1));
        alone.onTeams(List.of(team), 0);
        long admitted = 0;
        for (int i = 0; i < 8 * 30; i++) {
            admitted += alone.tryAcquire(team, 2_000, i * SECOND / 30).isEmpty() ? 2_000 : 0;
        }

        assertThat((double) admitted, lessThanOrEqualTo((8 * 10_000 + 10_000) * 1.1 + 110_000));
    }

    /** A process that starts alone among 95 must not refuse the few requests of a team within its quota. */
    @Test
    void admitsRequestsThatWaitedForLevelsOfOthers() {
        processes.onRegistered(95, 0);
        withTeam();
        limiter.onAggregators(List.of(AGGREGATOR));
        assertThat(limiter.awaitsUsage(Calls.TEAM, 0, SECOND / 2), is(true));
        limiter.reserve(Calls.TEAM, 500, SECOND / 2);
        limiter.reserve(Calls.TEAM, 400, SECOND / 2);
        limiter.onRemoteUsage(AGGREGATOR, usage(70_000), 95, levels(1_000), SECOND / 2);

        assertThat(limiter.awaitsUsage(Calls.TEAM, 0, SECOND / 2), is(false));
        assertThat(limiter.decideReserved(Calls.TEAM, 500, SECOND / 2).isEmpty(), is(true));
        assertThat(limiter.decideReserved(Calls.TEAM, 400, SECOND / 2).isEmpty(), is(true));
        assertThat(limiter.tryAcquire(Calls.TEAM, 400, SECOND / 2).isPresent(), is(true));
    }

    @Test
    void refusesRequestsThatWaitedIfOthersAreInDebt() {
        processes.onRegistered(95, 0);
        withTeam().onAggregators(List.of(AGGREGATOR));
        limiter.reserve(Calls.TEAM, 500, SECOND / 2);
        limiter.onRemoteUsage(AGGREGATOR, usage(70_000), 95, levels(-100), SECOND / 2);

        assertThat(limiter.decideReserved(Calls.TEAM, 500, SECOND / 2).isPresent(), is(true));
    }

    /** Processes that start and hear of nobody admit what their even shares bear, on average. */
    @Test
    void admitsEvenSharesWithoutSums() {
        Random random = new Random(1);
        long admitted = 0;
        for (int i = 0; i < 2_000; i++) {
            ProcessCount starting = new ProcessCount(1, 0);
            starting.onRegistered(95, 0);
            QuotaLimiter alone = new QuotaLimiter(0, 0, starting, random);
            alone.onTeams(List.of(Calls.TEAM), 0);
            alone.reserve(Calls.TEAM, 500, SECOND / 2);
            admitted += alone.decideReserved(Calls.TEAM, 500, SECOND).isEmpty() ? 500 : 0;
        }

        assertThat(admitted / 2_000.0, lessThanOrEqualTo(1.5 * 1_000 / 95));
        assertThat(admitted / 2_000.0, greaterThan(0.5 * 1_000 / 95));
    }

    @Test
    void dividesWhatIsLeftWhenOthersFallSilent() {
        processes.onLive(4, 0);
        withTeam().onAggregators(List.of(AGGREGATOR));
        limiter.onRemoteUsage(AGGREGATOR, usage(0), 4, levels(1_000), 0);
        limiter.onRemoteUsage(AGGREGATOR, usage(0), 4, QuotaLevels.NONE, 2 * SECOND);
        long admitted = 0;
        for (int i = 0; i < 100; i++) {
            admitted += limiter.tryAcquire(Calls.TEAM, 10, 3 * SECOND).isEmpty() ? 10 : 0;
        }

        assertThat(admitted, lessThanOrEqualTo((1_000L + 1_000) / 4 + 10));
    }

    @Test
    void countsWhatOthersUsedWhileTheyWereSilent() {
        processes.onLive(2, 0);
        withTeam().onAggregators(List.of(AGGREGATOR));
        limiter.onRemoteUsage(AGGREGATOR, usage(0), 2, levels(1_000), 0);
        limiter.onRemoteUsage(AGGREGATOR, usage(0), 1, QuotaLevels.NONE, 4 * SECOND);
        limiter.onRemoteUsage(AGGREGATOR, usage(4_900), 2, QuotaLevels.NONE, 4 * SECOND);

        assertThat(limiter.tryAcquire(Calls.TEAM, 500, 4 * SECOND).isPresent(), is(true));
    }

    private static QuotaLevels levels(long available) {
        return new QuotaLevels(true, List.of(new TeamLevel(Calls.TEAM.id(), available, 0)));
    }

    private static List<TeamUsage> usage(long units) {
        return List.of(new TeamUsage(Calls.TEAM.id(), units));
    }
}
