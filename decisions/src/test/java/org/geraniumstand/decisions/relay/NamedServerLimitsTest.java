package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.OptionalDouble;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.ServerLimit;
import org.junit.jupiter.api.Test;

final class NamedServerLimitsTest {
    private static final double NONE = Double.POSITIVE_INFINITY;
    private static final RelayServer SERVER = Calls.startedAt("one", Calls.PLAIN_SERVICE, 100);
    private static final RelayServer LATER = Calls.startedAt("one", Calls.PLAIN_SERVICE, 200);

    private final NamedServerLimits limits = new NamedServerLimits();

    private static long at(long millis) {
        return millis * Calls.MILLI;
    }

    private boolean answer(double perSecond, long sentMillis, long atMillis) {
        return limits.onAnswer(SERVER, perSecond, at(sentMillis), at(atMillis));
    }

    @Test
    void serverThatNamesNothingHasNoLimit() {
        assertThat(answer(NONE, 0, 10), is(false));
        assertThat(limits.perSecond(SERVER), is(OptionalDouble.empty()));
        assertThat(limits.recent(at(10)), empty());
    }

    @Test
    void latestAnswerNamesTheLimit() {
        assertThat(answer(2, 0, 10), is(true));
        assertThat(answer(2, 0, 2_000), is(false));
        assertThat(answer(1.4, 2_000, 2_010), is(true));

        assertThat(limits.perSecond(SERVER), is(OptionalDouble.of(1.4)));
        assertThat(limits.limitedServers(), is(1L));
    }

    @Test
    void answerWithoutLimitEndsIt() {
        answer(2, 0, 10);
        assertThat(answer(NONE, 2_000, 2_010), is(true));

        assertThat(limits.perSecond(SERVER), is(OptionalDouble.empty()));
        assertThat(limits.limitedServers(), is(0L));
    }

    @Test
    void answerToARequestSentBeforeTheLimitWasNamedDoesNotEndIt() {
        answer(2, 0, 10);
        answer(NONE, 5, 5_000);

        assertThat(limits.perSecond(SERVER), is(OptionalDouble.of(2)));
    }

    @Test
    void limitEndsWhenTheServerStartsAgain() {
        answer(2, 0, 10);

        assertThat(limits.perSecond(LATER), is(OptionalDouble.empty()));
    }

    @Test
    void earlierStartDoesNotChangeTheLimitOfALaterOne() {
        limits.onAnswer(LATER, 2, 0, at(10));
        limits.onAnswer(SERVER, NONE, at(20), at(30));

        assertThat(limits.perSecond(LATER), is(OptionalDouble.of(2)));
    }

    @Test
    void freshestReportCounts() {
        answer(2, 0, 1_000);
        limits.onRemote(new ServerLimit(SERVER.id(), 100, 5, 500), at(1_200));
        assertThat(limits.perSecond(SERVER), is(OptionalDouble.of(2)));

        limits.onRemote(new ServerLimit(SERVER.id(), 100, 5, 100), at(1_200));
        assertThat(limits.perSecond(SERVER), is(OptionalDouble.of(5)));
        limits.onRemote(new ServerLimit(SERVER.id(), 100, NONE, 0), at(1_300));
        assertThat(limits.perSecond(SERVER), is(OptionalDouble.empty()));
    }

    @Test
    void invalidReportIsIgnored() {
        limits.onRemote(new ServerLimit(SERVER.id(), 100, Double.NaN, 0), at(0));
        limits.onRemote(new ServerLimit(SERVER.id(), 100, -1, 0), at(0));

        assertThat(limits.perSecond(SERVER), is(OptionalDouble.empty()));
    }

    /** With no request at all, the end of the limit would never be learned. */
    @Test
    void limitOfZeroLeavesARequestNowAndThen() {
        answer(0, 0, 10);

        assertThat(limits.perSecond(SERVER), is(OptionalDouble.of(0.1)));
    }

    @Test
    void endIsReportedForAWhile() {
        answer(2, 0, 10);
        answer(NONE, 2_000, 2_010);

        assertThat(limits.recent(at(3_010)), is(List.of(new ServerLimit(SERVER.id(), 100, NONE, 1_000))));
        assertThat(limits.recent(at(70_000)), empty());
    }

    @Test
    void flappingLimitIsReportedAsChangedOnceASecond() {
        int changes = 0;
        for (long millis = 0; millis < 3_000; millis += 10) {
            changes += answer(millis % 20 == 0 ? 1 : 2, millis, millis) ? 1 : 0;
        }

        assertThat(changes, is(3));
    }

    @Test
    void limitsAndReportsAreBounded() {
        for (int i = 0; i < 2_000; i++) {
            limits.onRemote(new ServerLimit(new ServerId("s" + i), 100, 2, 0), at(i));
        }

        assertThat(limits.limitedServers(), is(1_024L));
        assertThat(limits.recent(at(2_000)), hasSize(32));
    }
}
