package org.geraniumstand.entry.metrics;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.LockFreeExponentiallyDecayingReservoir;
import java.util.Locale;
import org.geraniumstand.http.opaque.CallObserver;
import org.geraniumstand.model.relay.CallKind;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.RefusalReason;

/** Counts relayed calls by outcome, attempts by end, and times of answers by kind of call. */
public final class RelayMetrics implements CallObserver {
    private static final String CALLS = "geraniumstand_calls_total";

    private final ProcessMetrics metrics;

    /**
     * Creates the metrics.
     *
     * @param metrics the registry to add them to
     */
    public RelayMetrics(ProcessMetrics metrics) {
        this.metrics = metrics;
    }

    @Override
    public void answered(CallKind kind, long millis) {
        outcome("answered");
        time("geraniumstand_call_millis", kind, millis);
    }

    @Override
    public void started(CallKind kind, long millis) {
        time("geraniumstand_call_first_byte_millis", kind, millis);
    }

    @Override
    public void refused(RefusalReason reason) {
        outcome(reason.text());
    }

    @Override
    public void callerLeft() {
        outcome("caller-left");
    }

    @Override
    public void attemptEnded(AttemptEnd end) {
        metrics.registry()
                .counter(MetricName.of("geraniumstand_attempts_total", "end", label(end)))
                .inc();
    }

    private void outcome(String outcome) {
        metrics.registry().counter(MetricName.of(CALLS, "outcome", outcome)).inc();
    }

    private void time(String name, CallKind kind, long millis) {
        metrics.registry()
                .histogram(
                        MetricName.of(name, "kind", label(kind)),
                        () -> new Histogram(
                                LockFreeExponentiallyDecayingReservoir.builder().build()))
                .update(millis);
    }

    private static String label(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
