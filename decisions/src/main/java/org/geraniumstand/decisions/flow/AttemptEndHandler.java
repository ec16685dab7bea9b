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
    public void onAbandoned(RequestId id, Timestamp now, List<Action> actions) {
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
        admission.dispatchWaiting(request.facts().service(), now, actions);
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
        AttemptResult report = ended.report();
        boolean answered = report.end() == AttemptEnd.ANSWERED;
        boolean leaving = !context.fleet().isEligible(state);
        request.endAttempt(RetryPolicy.mayHaveRun(report.end()));
        actions.addAll(context.moves().onAttemptEnded(request.facts(), state.server(), report, now));
        if (report.end() != AttemptEnd.CANCELLED && !leaving) {
            context.limits().onEnded(state, answered);
        }
        if (answered) {
            onAnswered(request, state, report, actions);
        } else {
            onFailed(request, state, report.end(), leaving, now, actions);
        }
        admission.dispatchWaiting(request.facts().service(), now, actions);
    }

    private void onAnswered(InFlightRequest request, ServerState state, AttemptResult report, List<Action> actions) {
        RequestInfo facts = request.facts();
        context.requests().remove(facts.id());
        actions.add(new Action.RemoveRequest(facts.id()));
        context.serviceState(facts.service()).retryBudget().onSuccess(context.retryPercent());
        if (report.cachedTokens() >= 0 && !facts.prefixBlocks().isEmpty()) {
            state.recordCachedTokens(request.predictedCachedTokens(), report.cachedTokens());
        }
    }

    private void onFailed(
            InFlightRequest request,
            ServerState state,
            AttemptEnd end,
            boolean leaving,
            Timestamp now,
            List<Action> actions) {
        RequestInfo facts = request.facts();
        request.recordFailure(state.server().id());
        boolean allowed = RetryPolicy.allowsRetry(
                facts.idempotent(), end, request.failures(), facts.deadlineNanos(), now.nanos());
        // The end of an attempt at a leaving server is not a server failure, so its retry is not charged to the budget.
        if (allowed && (leaving || spendRetry(facts, state, end, now))) {
            context.serviceState(facts.service()).queue().addResumed(request);
            actions.add(new Action.RecordEvent(
                    EventKind.REQUEST_RETRIED,
                    DecisionSummaries.of(RetryPolicy.class),
                    List.of(
                            Field.of("request", facts.id()),
                            Field.of("server", state.server().id()),
                            Field.of("end", end))));
            return;
        }
        context.requests().remove(facts.id());
        boolean relaysServerError = end == AttemptEnd.SERVER_ERROR && !facts.idempotent();
        if (end == AttemptEnd.CANCELLED || relaysServerError) {
            actions.add(new Action.RemoveRequest(facts.id()));
            return;
        }
        RefusalReason reason = end == AttemptEnd.SILENT ? RefusalReason.SERVER_SILENT : RefusalReason.SERVER_FAILED;
        Refusal refusal = request.mayHaveRun() ? Refusal.unknown(reason) : Refusal.notRun(reason, RETRY_AFTER_MILLIS);
        AdmissionController.refuse(facts, refusal, actions);
    }

    private boolean spendRetry(RequestInfo facts, ServerState state, AttemptEnd end, Timestamp now) {
        RetryBudget budget = context.serviceState(facts.service()).retryBudget();
        return end == AttemptEnd.BROKEN
                ? budget.spendForBrokenConnection(state.server().id(), now)
                : budget.spend(now);
    }
}
