package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.QuotaAnswer;
import org.geraniumstand.model.relay.QuotaGrant;
import org.geraniumstand.model.relay.QuotaHolding;
import org.geraniumstand.model.relay.QuotaLevels;
import org.geraniumstand.model.relay.RelayTeam;
import org.geraniumstand.model.relay.TeamLevel;
import org.geraniumstand.model.relay.TeamUsage;
import org.junit.jupiter.api.Test;

final class QuotaLimiterTest {
    private static final long SECOND = 1_000 * Calls.MILLI;
    private static final ProcessId AGGREGATOR = new ProcessId("hub");
    private static final ProcessId SECOND_AGGREGATOR = new ProcessId("second-hub");
    private static final QuotaAdmission ADMITTED = QuotaAdmission.Admitted.INSTANCE;

    private final ProcessCount processes = new ProcessCount(1, 0);
    private final QuotaLimiter limiter = new QuotaLimiter(0, 0, processes, new Random(1));

    private QuotaLimiter withTeam() {
        limiter.onTeams(List.of(Calls.TEAM), 0);
        return limiter;
    }

    private QuotaLimiter withAggregators(int count, ProcessId... aggregators) {
        processes.onLive(count, 0);
        withTeam().onAggregators(List.of(aggregators), 0);
        return limiter;
    }

    /** Reports to an aggregator, which answers at once. */
    private void exchange(ProcessId aggregator, long units, long waitMillis, long nowNanos) {
        long number = limiter.report(aggregator, nowNanos).number();
        limiter.onAnswer(aggregator, answer(number, 1_000, units, waitMillis, 0), 2, nowNanos);
    }

    private static QuotaAnswer answer(long number, long available, long units, long waitMillis, long totalUnits) {
        TeamId team = Calls.TEAM.id();
        return new QuotaAnswer(
                number,
                true,
                List.of(new TeamLevel(team, available, 0)),
                List.of(new QuotaGrant(team, units, Long.MAX_VALUE, waitMillis)),
                totalUnits);
    }

    private QuotaTicket await(long cost, long nowNanos) {
        return ((QuotaAdmission.Waiting) limiter.request(Calls.TEAM, cost, nowNanos)).ticket();
    }

    @Test
    void admitsRequestWithinBurst() {
        assertThat(withTeam().request(Calls.TEAM, 1_000, SECOND), is(ADMITTED));
    }

    @Test
    void refusesRequestBeyondBurstWithRetryDelay() {
        withTeam().request(Calls.TEAM, 1_000, SECOND);

        assertThat(limiter.request(Calls.TEAM, 500, SECOND), is(new QuotaAdmission.Refused(500)));
        assertThat(limiter.request(Calls.TEAM, 500, SECOND + SECOND / 2), is(ADMITTED));
    }

    @Test
    void usesGrantedUnitsOnly() {
        withAggregators(2, AGGREGATOR);
        exchange(AGGREGATOR, 600, 0, 2 * SECOND);

        assertThat(limiter.request(Calls.TEAM, 400, 2 * SECOND), is(ADMITTED));
        assertThat(limiter.request(Calls.TEAM, 400, 2 * SECOND), is(instanceOf(QuotaAdmission.Waiting.class)));
    }

    @Test
    void admitsWaitingRequestsWithTheUnitsThatWereAskedFor() {
        withAggregators(2, AGGREGATOR);
        exchange(AGGREGATOR, 0, 0, 2 * SECOND);
        QuotaTicket first = await(500, 2 * SECOND);
        QuotaTicket second = await(300, 2 * SECOND);
        QuotaQuestion question = limiter.nextQuestion(2 * SECOND).orElseThrow();

        assertThat(question.request().holdings(), is(List.of(new QuotaHolding(Calls.TEAM.id(), 0, 460, 800, 2))));

        limiter.onAnswer(AGGREGATOR, answer(question.request().number(), 1_000, 800, 0, 0), 2, 2 * SECOND);

        assertThat(limiter.poll(first, 2 * SECOND), is(ADMITTED));
        assertThat(limiter.poll(second, 2 * SECOND), is(ADMITTED));
        assertThat(limiter.localUsage(), is(usage(800)));
    }

    @Test
    void refusesWaitingRequestsThatGotNoUnits() {
        withAggregators(2, AGGREGATOR);
        exchange(AGGREGATOR, 0, 0, 2 * SECOND);
        QuotaTicket ticket = await(500, 2 * SECOND);
        long number = limiter.nextQuestion(2 * SECOND).orElseThrow().request().number();
        limiter.onAnswer(AGGREGATOR, answer(number, 0, 0, 700, 0), 2, 2 * SECOND);

        assertThat(limiter.poll(ticket, 2 * SECOND), is(new QuotaAdmission.Refused(700)));
        assertThat(limiter.request(Calls.TEAM, 500, 2 * SECOND), is(new QuotaAdmission.Refused(700)));
    }

    @Test
    void asksOneQuestionAtATime() {
        withAggregators(2, AGGREGATOR);
        exchange(AGGREGATOR, 0, 0, 2 * SECOND);
        await(500, 2 * SECOND);

        assertThat(limiter.nextQuestion(2 * SECOND).isPresent(), is(true));
        assertThat(limiter.nextQuestion(2 * SECOND).isPresent(), is(false));
    }

    @Test
    void asksTheNextAggregatorIfTheFirstIsLate() {
        withAggregators(3, AGGREGATOR, SECOND_AGGREGATOR);
        exchange(AGGREGATOR, 0, 0, 2 * SECOND);
        exchange(SECOND_AGGREGATOR, 0, 0, 2 * SECOND);
        await(500, 2 * SECOND);

        assertThat(limiter.nextQuestion(2 * SECOND).orElseThrow().aggregator(), is(AGGREGATOR));
        assertThat(limiter.nextQuestion(2 * SECOND + SECOND / 2).orElseThrow().aggregator(), is(SECOND_AGGREGATOR));
    }

    /** Sums counted as recent when they arrived, though they had been under way for seconds. */
    @Test
    void ignoresUnitsOfAnAnswerThatComesLate() {
        withAggregators(2, AGGREGATOR);
        long number = limiter.report(AGGREGATOR, 2 * SECOND).number();
        limiter.onAnswer(AGGREGATOR, answer(number, 1_000, 500, 0, 0), 2, 4 * SECOND);

        assertThat(limiter.remoteUsageKnown(4 * SECOND), is(false));
        assertThat(limiter.report(AGGREGATOR, 4 * SECOND).holdings(), is(List.of()));
    }

    @Test
    void heldUnitsEndWithTheLastAnswer() {
        withAggregators(2, AGGREGATOR);
        exchange(AGGREGATOR, 600, 0, 2 * SECOND);
        exchange(AGGREGATOR, 0, 0, 5 * SECOND);

        assertThat(limiter.request(Calls.TEAM, 400, 5 * SECOND), is(instanceOf(QuotaAdmission.Waiting.class)));
    }

    @Test
    void givesBackUnitsThatItMayNoLongerHold() {
        withAggregators(2, AGGREGATOR);
        exchange(AGGREGATOR, 600, 0, 2 * SECOND);
        long number = limiter.report(AGGREGATOR, 2 * SECOND).number();
        QuotaGrant grant = new QuotaGrant(Calls.TEAM.id(), 0, 0, 0);
        limiter.onAnswer(AGGREGATOR, new QuotaAnswer(number, true, List.of(), List.of(grant), 0), 2, 2 * SECOND);

        assertThat(limiter.request(Calls.TEAM, 400, 2 * SECOND), is(instanceOf(QuotaAdmission.Waiting.class)));
    }

    @Test
    void refundsRequestThatDidNotRun() {
        withTeam().request(Calls.TEAM, 1_000, SECOND);
        limiter.refund(Calls.TEAM, 1_000, SECOND);

        assertThat(limiter.request(Calls.TEAM, 1_000, SECOND), is(ADMITTED));
        assertThat(limiter.localUsage(), is(usage(1_000)));
    }

    @Test
    void usesEqualShareWhileNoAggregatorAnswers() {
        withAggregators(2, AGGREGATOR).request(Calls.TEAM, 500, 2 * SECOND);
        long admitted = 0;
        for (long at = 2 * SECOND; at < 12 * SECOND; at += SECOND / 10) {
            admitted += limiter.request(Calls.TEAM, 50, at).equals(ADMITTED) ? 50 : 0;
        }

        assertThat(admitted, lessThanOrEqualTo(1_000L + 10 * 1_000 / 2));
    }

    @Test
    void usesItsPartOfTheLevelThatItWasToldLast() {
        withAggregators(4, AGGREGATOR);
        exchange(AGGREGATOR, 0, 0, 0);
        long admitted = 0;
        for (int i = 0; i < 100; i++) {
            admitted += limiter.request(Calls.TEAM, 10, 3 * SECOND).equals(ADMITTED) ? 10 : 0;
        }

        assertThat(admitted, lessThanOrEqualTo((1_000L + 1_000) / 4 + 10));
    }

    /** A team sends five times its quota through two processes that exchange their usage five times a second. */
    @Test
    void keepsTeamWithinQuotaOverTwoProcesses() {
        processes.onLive(2, 0);
        List<QuotaLimiter> limiters = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            QuotaLimiter one = new QuotaLimiter(0, 0, processes, new Random(1));
            one.onTeams(List.of(Calls.TEAM), 0);
            one.onAggregators(List.of(AGGREGATOR), 0);
            limiters.add(one);
        }
        QuotaLedger ledger = new QuotaLedger(0, 0, processes);
        ledger.onTeams(List.of(Calls.TEAM), 0);
        for (int step = 0; step < 800; step++) {
            long now = step * SECOND / 100;
            for (int i = 0; i < 2; i++) {
                QuotaLimiter one = limiters.get(i);
                ProcessId process = new ProcessId("p" + i);
                one.request(Calls.TEAM, 25, now);
                one.nextQuestion(now)
                        .ifPresent(question -> one.onAnswer(
                                AGGREGATOR,
                                ledger.onRequest(
                                        process, question.usages(), Optional.empty(), question.request(), false, now),
                                2,
                                now));
                if (step % 20 == 0) {
                    QuotaAnswer answer = ledger.onRequest(
                            process,
                            one.localUsage(),
                            Optional.of(one.acknowledgedUsage(now)),
                            one.report(AGGREGATOR, now),
                            true,
                            now);
                    one.onAnswer(AGGREGATOR, answer, 2, now);
                }
            }
        }
        long admitted = limiters.stream()
                .mapToLong(one -> one.localUsage().get(0).units())
                .sum();

        long quota = 8 * 1_000 + 1_000;
        assertThat(admitted, lessThanOrEqualTo(Math.round(quota * 1.1)));
        assertThat(admitted, greaterThan(Math.round((quota - 1_000) * 0.9)));
    }

    @Test
    void totalsUsageOfAllProcesses() {
        withTeam().request(Calls.TEAM, 10, SECOND);
        withAggregators(2, AGGREGATOR);
        total(AGGREGATOR, 0, 2 * SECOND);
        total(AGGREGATOR, 30, 2 * SECOND);

        assertThat(limiter.totalUsage(), is(40L));
    }

    @Test
    void countsUsageReportedByTwoAggregatorsOnce() {
        withAggregators(3, AGGREGATOR, SECOND_AGGREGATOR);
        total(AGGREGATOR, 100, SECOND);
        total(SECOND_AGGREGATOR, 40, SECOND);
        total(AGGREGATOR, 600, SECOND);
        total(SECOND_AGGREGATOR, 540, SECOND);

        assertThat(limiter.totalUsage(), is(500L));
    }

    @Test
    void failsOverToSecondAggregator() {
        withAggregators(3, AGGREGATOR, SECOND_AGGREGATOR);
        total(AGGREGATOR, 100, SECOND);
        total(SECOND_AGGREGATOR, 40, SECOND);
        total(SECOND_AGGREGATOR, 240, 3 * SECOND);

        assertThat(limiter.totalUsage(), is(200L));
    }

    @Test
    void ignoresAnswersOfProcessThatIsNotAnAggregator() {
        withAggregators(2, AGGREGATOR);
        total(SECOND_AGGREGATOR, 0, SECOND);
        total(SECOND_AGGREGATOR, 900, SECOND);

        assertThat(limiter.totalUsage(), is(0L));
    }

    private void total(ProcessId aggregator, long units, long nowNanos) {
        long number = limiter.report(aggregator, nowNanos).number();
        limiter.onAnswer(aggregator, answer(number, 1_000, 0, 0, units), 2, nowNanos);
    }

    @Test
    void tellsFormerAggregatorsThatItLeaves() {
        withAggregators(3, AGGREGATOR);
        exchange(AGGREGATOR, 0, 0, SECOND);

        assertThat(
                limiter.onAggregators(List.of(SECOND_AGGREGATOR), SECOND)
                        .get(AGGREGATOR)
                        .leaving(),
                is(true));
    }

    @Test
    void tellsLevelsToAnAggregatorThatDoesNotKnowThem() {
        withAggregators(3, AGGREGATOR, SECOND_AGGREGATOR);
        exchange(AGGREGATOR, 0, 0, SECOND);

        assertThat(
                limiter.report(SECOND_AGGREGATOR, SECOND).told(),
                is(List.of(new TeamLevel(Calls.TEAM.id(), 1_000, 0))));
        assertThat(limiter.report(AGGREGATOR, SECOND).told(), is(List.of()));
    }

    @Test
    void readsTeamsThatAreNearTheirQuota() {
        withAggregators(2, AGGREGATOR);
        exchange(AGGREGATOR, 900, 0, SECOND);

        assertThat(limiter.readings(), is(List.of()));

        limiter.request(Calls.TEAM, 900, SECOND);
        long number = limiter.report(AGGREGATOR, SECOND).number();
        limiter.onAnswer(AGGREGATOR, answer(number, 100, 0, 0, 0), 2, SECOND);

        assertThat(limiter.readings(), is(List.of(new QuotaReading(Calls.TEAM.id(), 100, 900, 0))));
    }

    /** An aggregator of the build before answers with sums and levels, and grants nothing. */
    @Test
    void admitsByTheLevelOfAnAggregatorWithoutGrants() {
        withAggregators(2, AGGREGATOR);
        sums(900);

        assertThat(limiter.request(Calls.TEAM, 400, 2 * SECOND), is(ADMITTED));

        sums(-100);

        assertThat(limiter.request(Calls.TEAM, 400, 2 * SECOND), is(instanceOf(QuotaAdmission.Refused.class)));
    }

    private void sums(long available) {
        limiter.report(AGGREGATOR, 2 * SECOND);
        QuotaLevels levels = new QuotaLevels(true, List.of(new TeamLevel(Calls.TEAM.id(), available, 0)));
        limiter.onSums(AGGREGATOR, usage(0), 2, levels, 2 * SECOND);
    }

    /**
     * All 95 processes restart at once and receive no answers for two seconds, while a team requests four times its rate.
     * Within the window of eight seconds the team has used its rate for six; the expected limit is the remaining rate
     * plus the allowed overrun and slack.
     */
    @Test
    void staysWithinLimitWhileAllProcessesStartWithoutAnswers() {
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
        List<QuotaTicket> tickets = new ArrayList<>();
        List<QuotaLimiter> asked = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            QuotaLimiter processLimiter = limiters.get(random.nextInt(limiters.size()));
            QuotaAdmission admission = processLimiter.request(team, cost, i * 2L * SECOND / requests);
            admitted += admission.equals(ADMITTED) ? cost : 0;
            if (admission instanceof QuotaAdmission.Waiting waiting) {
                tickets.add(waiting.ticket());
                asked.add(processLimiter);
            }
        }
        for (int i = 0; i < tickets.size(); i++) {
            admitted += asked.get(i).poll(tickets.get(i), 3 * SECOND).equals(ADMITTED) ? cost : 0;
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
            admitted += alone.request(team, 2_000, i * SECOND / 30).equals(ADMITTED) ? 2_000 : 0;
        }

        assertThat((double) admitted, lessThanOrEqualTo((8 * 10_000 + 10_000) * 1.1 + 110_000));
    }

    /** A process that starts alone among 95 must not refuse the few requests of a team within its quota. */
    @Test
    void admitsRequestsThatWaitedForTheFirstAnswer() {
        processes.onRegistered(95, 0);
        withTeam().onAggregators(List.of(AGGREGATOR), 0);
        QuotaTicket first = await(500, SECOND / 2);
        QuotaTicket second = await(400, SECOND / 2);
        exchange(AGGREGATOR, 0, 0, SECOND / 2);
        QuotaQuestion question = limiter.nextQuestion(SECOND / 2).orElseThrow();
        limiter.onAnswer(AGGREGATOR, answer(question.request().number(), 100, 900, 0, 0), 95, SECOND / 2);

        assertThat(limiter.poll(first, SECOND / 2), is(ADMITTED));
        assertThat(limiter.poll(second, SECOND / 2), is(ADMITTED));
        assertThat(limiter.request(Calls.TEAM, 400, SECOND / 2), is(instanceOf(QuotaAdmission.Waiting.class)));
    }

    /** Processes that start and hear of nobody admit what their even shares bear, on average. */
    @Test
    void admitsEvenSharesWithoutAnswers() {
        Random random = new Random(1);
        long admitted = 0;
        for (int i = 0; i < 2_000; i++) {
            ProcessCount starting = new ProcessCount(1, 0);
            starting.onRegistered(95, 0);
            QuotaLimiter alone = new QuotaLimiter(0, 0, starting, random);
            alone.onTeams(List.of(Calls.TEAM), 0);
            QuotaAdmission waiting = alone.request(Calls.TEAM, 500, SECOND / 2);
            QuotaTicket ticket = ((QuotaAdmission.Waiting) waiting).ticket();
            admitted += alone.poll(ticket, 2 * SECOND).equals(ADMITTED) ? 500 : 0;
        }

        assertThat(admitted / 2_000.0, allOf(lessThanOrEqualTo(1.5 * 1_000 / 95), greaterThan(0.5 * 1_000 / 95)));
    }

    private static List<TeamUsage> usage(long units) {
        return List.of(new TeamUsage(Calls.TEAM.id(), units));
    }
}
