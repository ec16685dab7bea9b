package org.geraniumstand.http.opaque;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.geraniumstand.http.opaque.EventOrder.Verdict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class EventOrderTest {
    private static final String WITHOUT_ID = "-";

    private final EventOrder order = new EventOrder(Optional.empty(), true);

    private static EventOrder after(String callerId) {
        return new EventOrder(Optional.of(callerId), true);
    }

    /**
     * Returns a letter for each event of a run: relayed, dropped or broken off, after which the run ends. An event with content
     * of its own is "id:content".
     */
    private static String run(EventOrder order, String ids) {
        order.startRun();
        StringBuilder verdicts = new StringBuilder();
        for (String event : ids.split(" ", -1)) {
            String id = event.split(":", -1)[0];
            Verdict verdict =
                    order.onEvent(id.equals(WITHOUT_ID) ? Optional.empty() : Optional.of(id), true, event::hashCode);
            verdicts.append(verdict.name().charAt(0));
            if (verdict == Verdict.BREAK_OFF) {
                break;
            }
        }
        return verdicts.toString();
    }

    @ParameterizedTest
    @CsvSource({
        "'3 4 5', RRR",
        "'1 2 3 4', DDRR",
        "'2 3 4', DRR",
        "'3 3 4', RDR",
        "'3 2 4', RDR",
        "'3 4 1 2 3 4 5', RRDDDDR",
        "'4', B",
        "'3 5', RB",
        "'1 4', DB",
        "'-', B",
        "'3 -', RB",
        "'x 3', B",
        "'-3', B",
        "'3.5', B",
        "'99999999999999999999', B",
    })
    void resumedRunGoesOnAtThePosition(String ids, String verdicts) {
        run(order, "1 2");

        assertThat(run(order, ids), is(verdicts));
    }

    @ParameterizedTest
    @CsvSource({"'1:b 2:b 3', B", "'1 2:b 3', DB", "'2:b 3', B", "'3 2:b', RB", "'3 3:b', RB"})
    void runOfOtherContentIsBrokenOff(String ids, String verdicts) {
        run(order, "1 2");

        assertThat(run(order, ids), is(verdicts));
        assertThat(run(order, "3 4"), is(verdicts.startsWith("R") ? "DR" : "RR"));
    }

    @Test
    void numberDecidesWhereTheCallerReceivedTheEventsElsewhere() {
        EventOrder elsewhere = after("2");

        assertThat(run(elsewhere, "1:b 2:b 3"), is("DDR"));
        assertThat(run(elsewhere, "1 2 3:b"), is("DDB"));
    }

    @ParameterizedTest
    @CsvSource({
        "'13 14', RR",
        "'1 2 3', DDD",
        "'11 12 13', DDR",
        "'14', B",
        "'-', B",
    })
    void runThatTheCallerResumesGoesOnAtItsPosition(String ids, String verdicts) {
        assertThat(run(after("12"), ids), is(verdicts));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "x", "-1", "1.5", "99999999999999999999"})
    void anyRunFollowsAPositionThatIsNoNumber(String callerId) {
        EventOrder unknown = after(callerId);

        assertThat(run(unknown, "7 8 8 9"), is("RRDR"));
        assertThat(run(unknown, "9 10 12"), is("DRB"));
    }

    @Test
    void positionOfTheCallerIsKeptAsItWasSent() {
        EventOrder padded = after("007");

        assertThat(padded.lastId(), is(Optional.of("007")));
        assertThat(run(padded, "8"), is("R"));
        assertThat(padded.lastId(), is(Optional.of("8")));
        assertThat(after("x").lastId(), is(Optional.of("x")));
    }

    @Test
    void serversOfOtherRoutesBeginAnewWhateverTheCallerHas() {
        EventOrder notResumable = new EventOrder(Optional.of("12"), false);

        assertThat(notResumable.lastId(), is(Optional.of("12")));
        assertThat(run(notResumable, "1 2 3"), is("RRR"));
        assertThat(notResumable.reachedPosition(), is(true));
    }

    @ParameterizedTest
    @CsvSource({"'5 4 3', RB", "'2 3 1 4', RRB", "'5 10 7 15', RRB"})
    void runThatGoesBackToAnEventThatWasNotRelayedIsBrokenOff(String ids, String verdicts) {
        assertThat(run(order, ids), is(verdicts));
    }

    @ParameterizedTest
    @ValueSource(strings = {"1 1 1 1 1 1", "1 2 2 3", "5 4 3 2 1", "2 1 2 1 2 1 2 1 2 1"})
    void onlyRunOfOtherRoutesIsRelayedWhole(String ids) {
        EventOrder notResumable = new EventOrder(Optional.empty(), false);

        assertThat(run(notResumable, ids), is("R".repeat(ids.split(" ", -1).length)));
    }

    @ParameterizedTest
    @CsvSource({
        "0000000000000000000002, '1 2 3', DDR",
        "2, '0000000000000000000001 0000000000000000000002 0000000000000000000003', DDR",
        "0000000000000000000000, '1 3', RB",
        "1000000000000000002, '1000000000000000001 1000000000000000003', DR",
        "9223372036854775806, '9223372036854775806 9223372036854775807', DR",
        "9223372036854775807, '9223372036854775807 1', DD",
        "9223372036854775807, '9223372036854775808', B",
    })
    void positionIsReadWhateverTheLengthOfItsId(String callerId, String ids, String verdicts) {
        assertThat(run(after(callerId), ids), is(verdicts));
    }

    @ParameterizedTest
    @ValueSource(strings = {"1 2 3", "0 1 2", "7 8 9", "5 10 15", "1 2 4 5", "100 7000 7001", "- - -", "1 - 2", "x y"})
    void runFromTheBeginningIsRelayedWhole(String ids) {
        assertThat(run(order, ids), is("R".repeat(ids.split(" ", -1).length)));
    }

    @Test
    void runFromTheBeginningRepeatsNoEvent() {
        assertThat(run(order, "1 2 2 3 1 4"), is("RRDRDR"));
    }

    @ParameterizedTest
    @CsvSource({"5 10, 15 20", "1 2 4, 6 7", "7, 9 12"})
    void stepsOverOneAreNoGapWhereIdsDoNotCountTheEvents(String first, String resumed) {
        run(order, first);

        assertThat(run(order, resumed), is("RR"));
    }

    @ParameterizedTest
    @CsvSource({"7, '8 9 11', RRB", "7, '8', R", "7, '9 10 12', RRR", "'5 10', '11 12 20', RRR"})
    void resumedRunShowsWhetherIdsCountTheEvents(String first, String resumed, String verdicts) {
        run(order, first);

        assertThat(run(order, resumed), is(verdicts));
    }

    @Test
    void positionRemainsThatOfTheLastEventRelayed() {
        run(order, "1 2 3");
        List<String> runs = Arrays.asList("1 2", "5", "-");

        for (String ids : runs) {
            run(order, ids);
            assertThat(order.lastId(), is(Optional.of("3")));
        }
        assertThat(run(order, "4"), is("R"));
    }

    @ParameterizedTest
    @CsvSource({"'1 2', true", "'1 -', false", "'1 x', false", "'1 - 2', true", "'-', false"})
    void positionIsUnknownAfterAnEventWithoutAnId(String ids, boolean known) {
        run(order, ids);

        assertThat(order.positionKnown(), is(known));
    }

    @Test
    void eventWithoutAnIdThatIsNotRelayedLeavesThePositionKnown() {
        run(order, "1 2");
        run(order, "-");

        assertThat(order.positionKnown(), is(true));
    }

    @Test
    void commentsAreNoEvents() {
        run(order, "1 2");
        order.startRun();

        assertThat(order.onEvent(Optional.empty(), false, () -> 0), is(Verdict.RELAY));
        assertThat(run(order, "3"), is("R"));
    }

    @ParameterizedTest
    @CsvSource({"'1 2', false", "'1 2 3', true", "'1 2 3 4', true", "'4', true", "'2', false"})
    void runThatEndsBeforeThePositionIsIncomplete(String ids, boolean reached) {
        run(order, "1 2 3");
        run(order, ids);

        assertThat(order.reachedPosition(), is(reached));
    }

    @Test
    void runWithoutEventsHasNothingToRepeat() {
        run(order, "1 2 3");
        order.startRun();

        assertThat(order.reachedPosition(), is(true));
    }

    @Test
    void runThatRepeatsItselfWithoutEndIsBrokenOff() {
        run(order, "1 2 3");

        assertThat(run(order, "1 2 1 2 1 2 1 2 1"), is("DDDDDDDDB"));
        assertThat(run(order, "3 3 3 3 3 4"), is("DDDDB"));
        assertThat(run(order, "2 1 2 1 4 3 2 4 5"), is("DDDDRDDDR"));
    }
}
