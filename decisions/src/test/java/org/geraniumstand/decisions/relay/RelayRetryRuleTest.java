package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.geraniumstand.model.relay.CallKind;
import org.geraniumstand.model.relay.RelayRoute;
import org.geraniumstand.model.request.AttemptEnd;
import org.junit.jupiter.api.Test;

final class RelayRetryRuleTest {
    private static RelayCall sent(RelayRoute route, int attempts) {
        RelayCall call = Calls.call(1, route);
        for (int i = 0; i < attempts; i++) {
            call.send(
                    new ServerView(
                            Calls.server("s" + i, Calls.PLAIN_SERVICE, Calls.WEST, 0),
                            new StoreStaleness(),
                            new SlownessForecast(),
                            0),
                    0,
                    0);
            call.release(true);
        }
        return call;
    }

    private static boolean mayRetry(RelayRoute route, int attempts, AttemptEnd end) {
        return RelayRetryRule.mayRetry(sent(route, attempts), end, 0);
    }

    @Test
    void retriesSafeCallAfterBrokenConnection() {
        assertThat(mayRetry(Calls.route(CallKind.SAFE, false, 2, 0), 1, AttemptEnd.BROKEN), is(true));
    }

    @Test
    void stopsRetryingACallAfterTwoServersCrashedAsTheyBeganToAnswerIt() {
        RelayRoute route = Calls.route(CallKind.SAFE, false, 5, 0);
        RelayCall call = sent(route, 1);
        call.onSuspiciousEnd();

        assertThat(RelayRetryRule.mayRetry(call, AttemptEnd.BROKEN, 0), is(true));
        call.onSuspiciousEnd();
        assertThat(RelayRetryRule.mayRetry(call, AttemptEnd.BROKEN, 0), is(false));
    }

    @Test
    void neverResumesStreamWhosePositionIsUnknown() {
        RelayCall call = sent(Calls.route(CallKind.STREAM, true, 3, 0), 1);
        call.onRelayed();
        call.setPositionKnown(false);

        assertThat(RelayRetryRule.mayRetry(call, AttemptEnd.BROKEN, 0), is(false));
        call.setPositionKnown(true);
        assertThat(RelayRetryRule.mayRetry(call, AttemptEnd.BROKEN, 0), is(true));
    }

    @Test
    void neverRetriesUnsafeCallThatMayHaveRun() {
        RelayRoute route = Calls.route(CallKind.UNSAFE, false, 3, 0);

        assertThat(mayRetry(route, 1, AttemptEnd.BROKEN), is(false));
        assertThat(mayRetry(route, 1, AttemptEnd.SILENT), is(false));
        assertThat(mayRetry(route, 1, AttemptEnd.SERVER_ERROR), is(false));
    }

    @Test
    void retriesUnsafeCallThatDidNotRun() {
        RelayRoute route = Calls.route(CallKind.UNSAFE, false, 1, 0);

        assertThat(mayRetry(route, 1, AttemptEnd.DECLINED), is(true));
        assertThat(mayRetry(route, 1, AttemptEnd.NOT_CONNECTED), is(true));
    }

    /** The servers of a data centre crash together; each refuses the connection, and the entries remain for seconds. */
    @Test
    void retriesPastCrashedServersOfDataCentre() {
        RelayRoute route = Calls.route(CallKind.UNSAFE, false, 1, 0);

        assertThat(mayRetry(route, 4, AttemptEnd.NOT_CONNECTED), is(true));
        assertThat(mayRetry(route, 6, AttemptEnd.NOT_CONNECTED), is(false));
    }

    @Test
    void stopsAfterMaximumAttemptsOfRoute() {
        assertThat(mayRetry(Calls.route(CallKind.SAFE, false, 2, 0), 2, AttemptEnd.BROKEN), is(false));
    }

    @Test
    void retriesStreamOnlyIfResumable() {
        assertThat(mayRetry(Calls.route(CallKind.STREAM, true, 2, 0), 1, AttemptEnd.BROKEN), is(true));
        assertThat(mayRetry(Calls.route(CallKind.STREAM, false, 2, 0), 1, AttemptEnd.BROKEN), is(false));
    }

    @Test
    void doesNotRetryAfterPartOfAnswerWasRelayed() {
        RelayCall call = sent(Calls.route(CallKind.SAFE, false, 2, 0), 1);
        call.onRelayed();

        assertThat(RelayRetryRule.mayRetry(call, AttemptEnd.BROKEN, 0), is(false));
    }

    @Test
    void stopsShortlyBeforeDeadline() {
        RelayCall call = sent(Calls.route(CallKind.SAFE, false, 2, 0), 1);

        assertThat(
                RelayRetryRule.mayRetry(call, AttemptEnd.BROKEN, call.deadlineNanos() - 10 * Calls.MILLI), is(false));
    }
}
