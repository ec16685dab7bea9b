package org.geraniumstand.decisions.flow;

import java.util.List;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.decisions.request.InFlightRequest;
import org.geraniumstand.decisions.routing.LatencyModel;
import org.geraniumstand.decisions.routing.ServerState;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.time.Timestamp;

/** Measures the latency of the backend servers from responses in progress. */
public final class LatencyTracker {
    private static final int TOKENS_PER_SAMPLE = 8;
    private static final double OVERDUE_FACTOR = 4;
    private static final double MIN_OVERDUE_MILLIS = 400;
    private static final double OUTLIER_RATIO = 3;

    private final DecisionContext context;

    /**
     * Creates the latency tracker of a process.
     *
     * @param context state shared by the decisions of the process
     */
    public LatencyTracker(DecisionContext context) {
        this.context = context;
    }

    /**
     * Records the first byte of a response.
     *
     * @param started the attempt and its time to the first byte
     * @param now the current time
     * @param actions receives the resulting actions
     */
    public void onFirstByte(Observation.AnswerStarted started, Timestamp now, List<Action> actions) {
        InFlightRequest request = requestOf(started.request(), started.attempt());
        if (request == null || request.started()) {
            return;
        }
        ServerState state = request.server();
        double millis = started.firstByteMillis();
        double tokens = Math.max(request.uncachedTokens(), state.pendingTokens());
        boolean plain = request.info().promptTokens() == 0;
        LatencyModel latencyModel = state.latencyModel();
        double expectedMillis =
                plain ? latencyModel.betweenTokensMillis(state.inFlight()) : latencyModel.firstTokenMillis(tokens);
        double ratio = (millis + 1) / (expectedMillis + 1);
        if (context.limits().warm(state) && ratio < OUTLIER_RATIO) {
            updateLatency(plain, latencyModel, state, tokens, millis);
        }
        if (request.info().idempotent()) {
            context.serviceState(request.info().service()).idleTimeouts().recordFirstByte(started.firstByteMillis());
        }
        request.onFirstByte(now);
        boolean late = millis > context.targets().firstTokenMillis();
        actions.addAll(context.limits().onLatencyRatio(state, ratio, late, true));
    }

    private static void updateLatency(
            boolean plain, LatencyModel latencyModel, ServerState state, double tokens, double millis) {
        if (plain) {
            latencyModel.recordBetweenTokens(state.inFlight(), millis);
        } else {
            latencyModel.recordFirstToken(tokens, millis);
        }
    }

    /**
     * Records tokens relayed in a stream.
     *
     * @param progressed the attempt and the tokens relayed so far
     * @param now the current time
     * @param actions receives the resulting actions
     */
    public void onTokensRelayed(Observation.StreamProgressed progressed, Timestamp now, List<Action> actions) {
        InFlightRequest request = requestOf(progressed.request(), progressed.attempt());
        if (request == null) {
            return;
        }
        int tokens = request.recordTokens(progressed.tokens());
        if (!request.started() || tokens < TOKENS_PER_SAMPLE) {
            return;
        }
        ServerState state = request.server();
        double millis = (double) now.millisSince(request.measuredSince()) / tokens;
        request.startMeasurement(now);
        double load = state.load(
                context.limits().spareConcurrency(state), context.limits().processes(), maxConcurrency(request), now);
        double expectedMillis = state.latencyModel().betweenTokensMillis(load);
        double ratio = (millis + 1) / (expectedMillis + 1);
        if (context.limits().warm(state) && ratio < OUTLIER_RATIO) {
            state.latencyModel().recordBetweenTokens(load, millis);
        }
        context.serviceState(request.info().service()).idleTimeouts().recordBetweenBytes(Math.round(millis));
        boolean late = millis > context.targets().betweenTokensMillis();
        actions.addAll(context.limits().onLatencyRatio(state, ratio, late, false));
    }

    private int maxConcurrency(InFlightRequest request) {
        return context.service(request.info().service())
                .map(Service::maxConcurrency)
                .orElse(1);
    }

    /**
     * Detects responses whose next token is long overdue.
     *
     * @param now the current time
     * @param actions receives the resulting actions
     */
    public void onTick(Timestamp now, List<Action> actions) {
        for (InFlightRequest request : context.requests().values()) {
            if (request.isWaiting() || request.info().promptTokens() == 0) {
                continue;
            }
            ServerState state = request.server();
            double tokens = Math.max(request.uncachedTokens(), state.pendingTokens());
            double expectedMillis = request.started()
                    ? state.latencyModel().betweenTokensMillis(state.inFlight()) * TOKENS_PER_SAMPLE
                    : state.latencyModel().firstTokenMillis(tokens);
            double waitedMillis = now.millisSince(request.measuredSince());
            if (waitedMillis > MIN_OVERDUE_MILLIS
                    && waitedMillis > OVERDUE_FACTOR * expectedMillis * state.slowness()) {
                actions.addAll(context.limits().onOverdueToken(state, waitedMillis / expectedMillis));
            }
        }
    }

    private InFlightRequest requestOf(RequestId id, int attempt) {
        InFlightRequest request = context.requests().get(id);
        return request == null || request.isWaiting() || request.attempt() != attempt ? null : request;
    }
}
