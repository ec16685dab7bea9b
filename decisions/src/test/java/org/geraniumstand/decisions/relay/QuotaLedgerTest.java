package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.Optional;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.relay.QuotaAnswer;
import org.geraniumstand.model.relay.QuotaGrant;
import org.geraniumstand.model.relay.QuotaHolding;
import org.geraniumstand.model.relay.QuotaRequest;
import org.geraniumstand.model.relay.TeamLevel;
import org.geraniumstand.model.relay.TeamUsage;
import org.junit.jupiter.api.Test;

final class QuotaLedgerTest {
    private static final long SECOND = 1_000 * Calls.MILLI;
    private static final TeamId TEAM = Calls.TEAM.id();
    private static final ProcessId FIRST = new ProcessId("first");
    private static final ProcessId SECOND_PROCESS = new ProcessId("second");

    private final ProcessCount processes = new ProcessCount(1, 0);
    private final QuotaLedger ledger = new QuotaLedger(0, 0, processes);

    /** Lets two processes report until the level of 1,000 units is full. */
    private void fill() {
        processes.onLive(2, 0);
        ledger.onTeams(List.of(Calls.TEAM), 0);
        for (long at = 0; at <= 3 * SECOND; at += SECOND / 4) {
            ask(FIRST, 0, 0, 0, 0, at);
            ask(SECOND_PROCESS, 0, 0, 0, 0, at);
        }
    }

    private long numbers;

    /** Asks for units for one request, or reports only. */
    private QuotaAnswer ask(ProcessId from, long used, long held, long units, long acknowledged, long nowNanos) {
        numbers++;
        QuotaHolding holding = new QuotaHolding(TEAM, held, 0, units, units > 0 ? 1 : 0);
        return ledger.onRequest(
                from,
                List.of(new TeamUsage(TEAM, used)),
                Optional.of(List.of()),
                new QuotaRequest(numbers, acknowledged, List.of(holding), List.of(), 0, false),
                true,
                nowNanos);
    }

    private static long units(QuotaAnswer answer) {
        return answer.grants().stream().mapToLong(QuotaGrant::units).sum();
    }

    private static long waitMillis(QuotaAnswer answer) {
        return answer.grants().get(0).waitMillis();
    }

    @Test
    void grantsWhatIsLeft() {
        fill();

        assertThat(units(ask(FIRST, 0, 0, 600, 0, 3 * SECOND)), is(600L));
    }

    /** What one process had used was unseen by the others until they had exchanged their sums. */
    @Test
    void grantsNoUnitsTwice() {
        fill();
        long granted = 0;
        for (int i = 0; i < 10; i++) {
            granted += units(ask(FIRST, 0, 0, 300, 0, 3 * SECOND));
            granted += units(ask(SECOND_PROCESS, 0, 0, 300, 0, 3 * SECOND));
        }

        assertThat(granted, is(1_500L));
    }

    @Test
    void refusesBeyondThatWithTheTimeUntilThereIsRoom() {
        fill();
        ask(FIRST, 0, 0, 1_500, 0, 3 * SECOND);
        QuotaAnswer answer = ask(SECOND_PROCESS, 0, 0, 600, 0, 3 * SECOND);

        assertThat(units(answer), is(0L));
        assertThat(waitMillis(answer), is(600L));
    }

    /** Callers that were refused all came back at the same moment. */
    @Test
    void refusedRequestsComeBackOneAfterTheOther() {
        fill();
        ask(FIRST, 0, 0, 1_500, 0, 3 * SECOND);
        ask(SECOND_PROCESS, 0, 0, 600, 0, 3 * SECOND);

        assertThat(waitMillis(ask(SECOND_PROCESS, 0, 0, 600, 0, 3 * SECOND)), is(1_200L));
    }

    @Test
    void unitsThatAreGivenBackAreGrantedAgain() {
        fill();
        QuotaAnswer granted = ask(FIRST, 0, 0, 1_500, 0, 3 * SECOND);
        ask(FIRST, 0, 0, 0, granted.number(), 3 * SECOND);

        assertThat(units(ask(SECOND_PROCESS, 0, 0, 1_000, 0, 3 * SECOND)), is(1_000L));
    }

    @Test
    void unitsThatAreHeldAreNotGrantedAgain() {
        fill();
        QuotaAnswer granted = ask(FIRST, 0, 0, 1_500, 0, 3 * SECOND);
        ask(FIRST, 0, 1_500, 0, granted.number(), 3 * SECOND);

        assertThat(units(ask(SECOND_PROCESS, 0, 0, 100, 0, 3 * SECOND)), is(0L));
    }

    /** What killed processes had used but not reported was never charged. */
    @Test
    void unitsOfAProcessThatFallsSilentCountAsUsed() {
        fill();
        ask(FIRST, 0, 0, 1_000, 0, 3 * SECOND);
        long granted = 0;
        for (long at = 3 * SECOND; at <= 5 * SECOND; at += SECOND / 4) {
            granted += units(ask(SECOND_PROCESS, 0, 0, 100, 0, at));
        }

        // The rate of one second and a half, as the other half of the last second belongs to the silent process.
        assertThat(granted, lessThanOrEqualTo(500L + 1_500));
    }

    @Test
    void assumptionIsTakenBackWhenTheProcessReportsAgain() {
        fill();
        QuotaAnswer granted = ask(FIRST, 0, 0, 1_000, 0, 3 * SECOND);
        ask(SECOND_PROCESS, 0, 0, 0, 0, 4 * SECOND);
        ask(SECOND_PROCESS, 0, 0, 0, 0, 5 * SECOND);
        ask(FIRST, 0, 0, 0, granted.number(), 5 * SECOND);
        ask(SECOND_PROCESS, 0, 0, 0, 0, 5 * SECOND);

        assertThat(units(ask(SECOND_PROCESS, 0, 0, 1_000, 0, 5 * SECOND)), is(1_000L));
    }

    @Test
    void beginsWithNothingWhenItBecomesAnAggregatorAgain() {
        fill();

        assertThat(units(ask(FIRST, 0, 0, 500, 0, 10 * SECOND)), is(0L));
    }

    @Test
    void takesOverTheLowestLevelThatItIsTold() {
        fill();
        tell(FIRST, 900, 10 * SECOND);
        tell(SECOND_PROCESS, 400, 10 * SECOND);

        assertThat(units(ask(FIRST, 0, 0, 700, 0, 10 * SECOND)), is(0L));
        assertThat(units(ask(FIRST, 0, 0, 500, 0, 10 * SECOND)), is(500L));
    }

    private void tell(ProcessId from, long available, long nowNanos) {
        ledger.onRequest(
                from,
                List.of(),
                Optional.of(List.of()),
                new QuotaRequest(1, 0, List.of(), List.of(new TeamLevel(TEAM, available, 0)), 0, false),
                true,
                nowNanos);
    }

    @Test
    void doesNotFillForAProcessThatHasLeft() {
        fill();
        ask(FIRST, 0, 0, 1_500, 0, 3 * SECOND);
        QuotaRequest leaving = new QuotaRequest(100, 0, List.of(), List.of(), 0, true);
        ledger.onRequest(SECOND_PROCESS, List.of(), Optional.empty(), leaving, true, 3 * SECOND);
        ask(FIRST, 1_500, 0, 0, 100, 3 * SECOND + SECOND / 2);

        assertThat(ledger.reportingProcesses(3 * SECOND + SECOND / 2), is(1));
        assertThat(ledger.levels(4 * SECOND).levels().get(0).available(), lessThanOrEqualTo(0L));
        assertThat(ledger.levels(4 * SECOND).levels().get(0).setAside(), greaterThan(400L));
    }

    @Test
    void chargesProcessesOfABuildWithoutGrants() {
        fill();
        ledger.onRequest(
                FIRST, List.of(new TeamUsage(TEAM, 800)), Optional.of(List.of()), QuotaRequest.NONE, true, 3 * SECOND);

        assertThat(ledger.levels(3 * SECOND).levels(), is(List.of(new TeamLevel(TEAM, 200, 0))));
        assertThat(ledger.sumExcluding(SECOND_PROCESS), is(List.of(new TeamUsage(TEAM, 800))));
    }

    @Test
    void grantsUnitsInAdvanceIfThereAreEnoughForAll() {
        fill();
        QuotaHolding wants = new QuotaHolding(TEAM, 0, 300, 0, 0);
        QuotaHolding wantsMore = new QuotaHolding(TEAM, 0, 800, 0, 0);

        assertThat(units(report(FIRST, wants)), is(525L));
        assertThat(units(report(SECOND_PROCESS, wantsMore)), is(0L));
    }

    private QuotaAnswer report(ProcessId from, QuotaHolding holding) {
        return ledger.onRequest(
                from,
                List.of(),
                Optional.empty(),
                new QuotaRequest(100, 0, List.of(holding), List.of(), 0, false),
                true,
                3 * SECOND);
    }
}
