package org.geraniumstand.decisions.flow;

import java.util.List;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.DecisionSummaries;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.decisions.request.InFlightRequest;
import org.geraniumstand.decisions.retry.RetryBudget;
import org.geraniumstand.decisions.retry.RetryPolicy;
import org.geraniumstand.decisions.routing.ServerState;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.AttemptResult;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.request.RequestInfo;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.model.timeline.EventKind;
import org.geraniumstand.model.timeline.Field;

/** Handles the end of attempts and requests: completes, retries or refuses the request. */
public final class AttemptEndHandler {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final DecisionContext context;
    private final AdmissionController admission;

    /**
     * Creates the handler of a process.
     *
     * @param context state shared by the decisions of the process
     * @param admission dispatches and removes waiting requests
     */
    public AttemptEndHandler(DecisionContext context, AdmissionController admission) {
        this.context = context;
        this.admission = admission;
    }

    /**
     * Cancels a request whose caller has disconnected.
     *
     * @param id the request
     * @param now the current time
     * @param actions receives the resulting actions
     */
    public void onCallerDisconnected(RequestId id, Timestamp now, List<Action> actions) {
        InFlightRequest request = context.requests().remove(id);
        if (request == null) {
            return;
        }
        if (request.isWaiting()) {
            admission.remove(request);
            actions.add(new Action.RemoveRequest(id));
            return;
        }
        request.endAttempt(true);
        actions.add(new Action.CancelAttempt(id, request.attempt()));
        actions.add(new Action.RemoveRequest(id));
        admission.dispatchWaiting(request.info().service(), now, actions);
    }

    /**
     * Handles the end of an attempt.
     *
     * @param ended the attempt and its result
     * @param now the current time
     * @param actions receives the resulting actions
     */
    public void onEnded(Observation.AttemptEnded ended, Timestamp now, List<Action> actions) {
        InFlightRequest request = context.requests().get(ended.request());
        if (request == null || request.isWaiting() || request.attempt() != ended.attempt()) {
            return;
        }
        ServerState state = request.server();
        AttemptResult result = ended.report();
        boolean answered = result.end() == AttemptEnd.ANSWERED;
        boolean ineligible = !context.fleet().isEligible(state);
        request.endAttempt(RetryPolicy.mayHaveRun(result.end()));
        actions.addAll(context.moves().onAttemptEnded(request.info(), state.server(), result, now));
        if (result.end() != AttemptEnd.CANCELLED && !ineligible) {
            context.limits().onEnded(state, answered);
        }
        if (answered) {
            onAnswered(request, state, result, actions);
        } else {
            onFailed(request, state, result.end(), ineligible, now, actions);
        }
        admission.dispatchWaiting(request.info().service(), now, actions);
    }

    private void onAnswered(InFlightRequest request, ServerState state, AttemptResult result, List<Action> actions) {
        RequestInfo info = request.info();
        context.requests().remove(info.id());
        actions.add(new Action.RemoveRequest(info.id()));
        context.serviceState(info.service()).retryBudget().onSuccess(context.retryPercent());
        if (result.cachedTokens() >= 0 && !info.prefixBlocks().isEmpty()) {
            state.recordCachedTokens(request.predictedCachedTokens(), result.cachedTokens());
        }
    }

    private void onFailed(
            InFlightRequest request,
            ServerState state,
            AttemptEnd end,
            boolean ineligible,
            Timestamp now,
            List<Action> actions) {
        RequestInfo info = request.info();
        request.recordFailure(state.server().id());
        boolean allowed =
                RetryPolicy.allowsRetry(info.idempotent(), end, request.failures(), info.deadlineNanos(), now.nanos());
        // The end of an attempt at an ineligible server, such as a draining one, is not a server failure, so its retry
        // is not charged to the budget.
        if (allowed && (ineligible || spendRetry(info, state, end, now))) {
            context.serviceState(info.service()).queue().addResumed(request);
            actions.add(new Action.RecordEvent(
                    EventKind.REQUEST_RETRIED,
                    DecisionSummaries.of(RetryPolicy.class),
                    List.of(
                            Field.of("request", info.id()),
                            Field.of("server", state.server().id()),
                            Field.of("end", end))));
            return;
        }
        context.requests().remove(info.id());
        boolean relaysServerError = end == AttemptEnd.SERVER_ERROR && !info.idempotent();
        if (end == AttemptEnd.CANCELLED || relaysServerError) {
            actions.add(new Action.RemoveRequest(info.id()));
            return;
        }
        RefusalReason reason = end == AttemptEnd.SILENT ? RefusalReason.SERVER_SILENT : RefusalReason.SERVER_FAILED;
        Refusal refusal = request.mayHaveRun() ? Refusal.unknown(reason) : Refusal.notRun(reason, RETRY_AFTER_MILLIS);
        AdmissionController.refuse(info, refusal, actions);
    }

    private boolean spendRetry(RequestInfo info, ServerState state, AttemptEnd end, Timestamp now) {
        RetryBudget budget = context.serviceState(info.service()).retryBudget();
        return end == AttemptEnd.BROKEN
                ? budget.spendForBrokenConnection(state.server().id(), now)
                : budget.spend(now);
    }
}
