package org.geraniumstand.entry.metrics;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;

import org.geraniumstand.model.relay.CallKind;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.RefusalReason;
import org.junit.jupiter.api.Test;

final class RelayMetricsTest {
    private final ProcessMetrics metrics = new ProcessMetrics();
    private final RelayMetrics relay = new RelayMetrics(metrics);

    @Test
    void countsCallsByOutcome() {
        relay.answered(CallKind.SAFE, 12);
        relay.refused(RefusalReason.OVER_QUOTA);
        relay.callerDisconnected();

        String text = metrics.text();
        assertThat(text, containsString("geraniumstand_calls_total{outcome=\"answered\"} 1\n"));
        assertThat(text, containsString("geraniumstand_calls_total{outcome=\"over-quota\"} 1\n"));
        assertThat(text, containsString("geraniumstand_calls_total{outcome=\"caller-left\"} 1\n"));
    }

    @Test
    void countsAttemptsByEnd() {
        relay.attemptEnded(AttemptEnd.NOT_CONNECTED);

        assertThat(metrics.text(), containsString("geraniumstand_attempts_total{end=\"not-connected\"} 1\n"));
    }

    @Test
    void countsAttemptsAtColdServersOnly() {
        relay.attemptStarted(true);
        relay.attemptStarted(false);

        assertThat(metrics.text(), containsString("geraniumstand_attempts_at_cold_servers_total 1\n"));
    }

    @Test
    void recordsLatencyByKindOfCall() {
        relay.answerStarted(CallKind.STREAM, 90);
        relay.answered(CallKind.STREAM, 400);

        String text = metrics.text();
        assertThat(
                text, containsString("geraniumstand_call_first_byte_millis{kind=\"stream\",quantile=\"0.5\"} 90.0\n"));
        assertThat(text, containsString("geraniumstand_call_millis{kind=\"stream\",quantile=\"0.5\"} 400.0\n"));
    }
}
