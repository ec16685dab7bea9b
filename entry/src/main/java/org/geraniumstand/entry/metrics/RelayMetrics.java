package org.geraniumstand.entry.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.geraniumstand.http.opaque.CallObserver;
import org.geraniumstand.model.relay.CallKind;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.timeline.Label;

/**
 * Counts relayed calls by outcome and attempts by end, and records response times by kind of call.
 *
 * <p>Confined to the I/O thread. Existing metrics are looked up by enum constant or outcome, without building their
 * names.
 */
public final class RelayMetrics implements CallObserver {
    private final ProcessMetrics metrics;
    private final Counter attemptsAtColdServers;
    private final Map<String, Counter> outcomes = new HashMap<>();
    private final Map<AttemptEnd, Counter> ends = new EnumMap<>(AttemptEnd.class);
    private final Map<CallKind, Histogram> firstBytes = new EnumMap<>(CallKind.class);
    private final Map<CallKind, Histogram> answers = new EnumMap<>(CallKind.class);

    /**
     * Creates the metrics.
     *
     * @param metrics registry for the metrics
     */
    public RelayMetrics(ProcessMetrics metrics) {
        this.metrics = metrics;
        this.attemptsAtColdServers = metrics.registry().counter("geraniumstand_attempts_at_cold_servers_total");
    }

    @Override
    public void answered(CallKind kind, long millis) {
        outcome("answered");
        latency(answers, "geraniumstand_call_millis", kind, millis);
    }

    @Override
    public void answerStarted(CallKind kind, long millis) {
        latency(firstBytes, "geraniumstand_call_first_byte_millis", kind, millis);
    }

    @Override
    public void refused(RefusalReason reason) {
        outcome(reason.text());
    }

    @Override
    public void callerDisconnected() {
        outcome("caller-left");
    }

    @Override
    public void attemptStarted(boolean cold) {
        if (cold) {
            attemptsAtColdServers.inc();
        }
    }

    @Override
    public void attemptEnded(AttemptEnd end) {
        ends.computeIfAbsent(end, key -> counter("geraniumstand_attempts_total", "end", Label.of(key)))
                .inc();
    }

    private void outcome(String outcome) {
        outcomes.computeIfAbsent(outcome, key -> counter("geraniumstand_calls_total", "outcome", key))
                .inc();
    }

    private Counter counter(String name, String label, String value) {
        return metrics.registry().counter(MetricName.of(name, label, value));
    }

    private void latency(Map<CallKind, Histogram> latencies, String name, CallKind kind, long millis) {
        latencies
                .computeIfAbsent(kind, key -> metrics.histogram(MetricName.of(name, "kind", Label.of(key))))
                .update(millis);
    }
}
