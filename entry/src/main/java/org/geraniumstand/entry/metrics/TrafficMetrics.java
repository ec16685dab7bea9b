package org.geraniumstand.entry.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.entry.core.CoreListener;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.RequestInfo;

/**
 * Counts requests by service, team and outcome.
 *
 * <p>All methods run on the core's thread, the only one that writes the maps. Existing metrics are looked up by a
 * small key, without building their names.
 */
public final class TrafficMetrics implements CoreListener {
    private static final String ANSWERED = "answered";
    private static final String ABANDONED = "abandoned";

    private final ProcessMetrics metrics;
    private final MetricRegistry registry;
    private final LongSupplier nanoTime;
    private final Map<RequestId, InFlightRequest> inFlight = new HashMap<>();
    private final Map<OutcomeKey, Counter> outcomes = new HashMap<>();
    private final Map<TimeKey, Histogram> latencies = new HashMap<>();
    private final Map<TeamId, TeamTotals> teams = new HashMap<>();
    private final Counter retries;
    private final Counter grantsSent;
    private final Counter grantsReceived;
    private final Counter tokens;
    private volatile int inFlightCount;

    private record InFlightRequest(ServiceId service, TeamId team, long startNanos) {}

    private record OutcomeKey(ServiceId service, String outcome) {}

    private record TimeKey(ServiceId service, String name) {}

    /**
     * Counts of a team's requests by outcome.
     *
     * @param answered number of answered requests
     * @param refused number of refused requests
     */
    public record TeamTotals(long answered, long refused) {
        /** Totals of a team without requests. */
        public static final TeamTotals NONE = new TeamTotals(0, 0);
    }

    /**
     * Creates the metrics.
     *
     * @param metrics registry for the metrics
     * @param nanoTime returns the monotonic time in nanoseconds
     */
    public TrafficMetrics(ProcessMetrics metrics, LongSupplier nanoTime) {
        this.metrics = metrics;
        this.registry = metrics.registry();
        this.nanoTime = nanoTime;
        this.retries = registry.counter("geraniumstand_retries_total");
        this.grantsSent = registry.counter("geraniumstand_grants_sent_total");
        this.grantsReceived = registry.counter("geraniumstand_grants_received_total");
        this.tokens = registry.counter("geraniumstand_answer_tokens_total");
        metrics.gauge("geraniumstand_requests_in_flight", () -> inFlightCount);
    }

    /** Returns the totals by team; must be called on the core's thread. */
    public Map<TeamId, TeamTotals> teams() {
        return Map.copyOf(teams);
    }

    @Override
    public void onRequestArrived(RequestInfo request, String _callerRequestId) {
        inFlight.put(request.id(), new InFlightRequest(request.service(), request.team(), nanoTime.getAsLong()));
        inFlightCount = inFlight.size();
    }

    @Override
    public void onObservation(Observation observation) {
        if (observation instanceof Observation.AnswerStarted started && started.attempt() == 1) {
            InFlightRequest inFlightRequest = inFlight.get(started.request());
            if (inFlightRequest != null) {
                latency(inFlightRequest.service(), "first_byte").update(millisSince(inFlightRequest));
            }
        } else if (observation instanceof Observation.AttemptEnded ended
                && ended.report().end() == AttemptEnd.ANSWERED) {
            answered(ended);
        } else if (observation instanceof Observation.CallerDisconnected abandoned) {
            end(abandoned.request(), ABANDONED);
        } else if (observation instanceof Observation.GrantsReceived received) {
            grantsReceived.inc(received.grants().size());
        }
    }

    @Override
    public void onAction(Action action) {
        if (action instanceof Action.Dispatch dispatch && dispatch.attempt() > 1) {
            retries.inc();
        } else if (action instanceof Action.Refuse refuse) {
            InFlightRequest inFlightRequest =
                    end(refuse.request(), refuse.refusal().reason().text());
            if (inFlightRequest != null) {
                teams.merge(inFlightRequest.team(), new TeamTotals(0, 1), TrafficMetrics::sum);
            }
        } else if (action instanceof Action.SendGrants grants) {
            grantsSent.inc(grants.grants().size());
        }
    }

    private void answered(Observation.AttemptEnded ended) {
        InFlightRequest inFlightRequest = end(ended.request(), ANSWERED);
        if (inFlightRequest != null) {
            tokens.inc(ended.report().tokens());
            latency(inFlightRequest.service(), "answer").update(millisSince(inFlightRequest));
            teams.merge(inFlightRequest.team(), new TeamTotals(1, 0), TrafficMetrics::sum);
        }
    }

    private InFlightRequest end(RequestId request, String outcome) {
        InFlightRequest inFlightRequest = inFlight.remove(request);
        if (inFlightRequest != null) {
            outcomes.computeIfAbsent(new OutcomeKey(inFlightRequest.service(), outcome), this::counter)
                    .inc();
            inFlightCount = inFlight.size();
        }
        return inFlightRequest;
    }

    private long millisSince(InFlightRequest inFlightRequest) {
        return TimeUnit.NANOSECONDS.toMillis(nanoTime.getAsLong() - inFlightRequest.startNanos());
    }

    private Counter counter(OutcomeKey key) {
        return registry.counter(MetricName.of(
                "geraniumstand_requests_total", "service", key.service().value(), "outcome", key.outcome()));
    }

    private Histogram latency(ServiceId service, String name) {
        return latencies.computeIfAbsent(
                new TimeKey(service, name),
                key -> metrics.histogram(MetricName.of(
                        "geraniumstand_" + key.name() + "_millis",
                        "service",
                        key.service().value())));
    }

    private static TeamTotals sum(TeamTotals a, TeamTotals b) {
        return new TeamTotals(a.answered() + b.answered(), a.refused() + b.refused());
    }
}
