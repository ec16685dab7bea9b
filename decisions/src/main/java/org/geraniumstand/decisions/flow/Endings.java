package org.geraniumstand.decisions.flow;

import java.util.List;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.decisions.Reasons;
import org.geraniumstand.decisions.flight.Flight;
import org.geraniumstand.decisions.retry.RetryBudget;
import org.geraniumstand.decisions.retry.RetryRule;
import org.geraniumstand.decisions.routing.ServerState;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.AttemptReport;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.request.RequestFacts;
import org.geraniumstand.model.time.Moment;
import org.geraniumstand.model.timeline.EventKind;
import org.geraniumstand.model.timeline.Field;

/** Decides what happens when an attempt or a request ends. */
public final class Endings {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final Parts parts;
    private final Intake intake;

    /**
     * Creates the endings of a process.
     *
     * @param parts what decisions share
     * @param intake where requests wait
     */
    public Endings(Parts parts, Intake intake) {
        this.parts = parts;
        this.intake = intake;
    }

    /**
     * Takes in that a caller left.
     *
     * @param request its request
     * @param now the time
     * @param actions filled with what is to be done
     */
    public void onAbandoned(RequestId request, Moment now, List<Action> actions) {
        Flight flight = parts.flights().remove(request);
        if (flight == null) {
            return;
        }
        if (flight.waits()) {
            intake.remove(flight);
            actions.add(new Action.Settle(request));
            return;
        }
        flight.release(true);
        actions.add(new Action.CancelAttempt(request, flight.attempt()));
        actions.add(new Action.Settle(request));
        intake.drain(flight.facts().service(), now, actions);
    }

    /**
     * Takes in the end of an attempt.
     *
     * @param ended what was seen
     * @param now the time
     * @param actions filled with what is to be done
     */
    public void onEnded(Observation.AttemptEnded ended, Moment now, List<Action> actions) {
        Flight flight = parts.flights().get(ended.request());
        if (flight == null || flight.waits() || flight.attempt() != ended.attempt()) {
            return;
        }
        ServerState state = flight.server();
        AttemptReport report = ended.report();
        boolean good = report.end() == AttemptEnd.ANSWERED;
        boolean leaving = !parts.fleet().takesNewWork(state);
        flight.release(RetryRule.mayHaveRun(report.end()));
        actions.addAll(parts.moves().onAttemptEnded(flight.facts(), state.server(), report, now));
        if (report.end() != AttemptEnd.CANCELLED && !leaving) {
            parts.limits().onEnded(state, good);
        }
        if (good) {
            answered(flight, state, report, actions);
        } else {
            failed(flight, state, report.end(), leaving, now, actions);
        }
        intake.drain(flight.facts().service(), now, actions);
    }

    private void answered(Flight flight, ServerState state, AttemptReport report, List<Action> actions) {
        RequestFacts facts = flight.facts();
        parts.flights().remove(facts.id());
        actions.add(new Action.Settle(facts.id()));
        parts.work(facts.service()).retries().onSuccess(parts.retryPercent());
        if (report.cachedTokens() >= 0 && !facts.prefixBlocks().isEmpty()) {
            state.onCached(flight.cachedGuess(), report.cachedTokens());
        }
    }

    private void failed(
            Flight flight, ServerState state, AttemptEnd end, boolean leaving, Moment now, List<Action> actions) {
        RequestFacts facts = flight.facts();
        flight.fail(state.server().id());
        boolean allowed =
                RetryRule.test(facts.idempotent(), end, flight.failures(), facts.deadlineNanos(), now.nanos());
        // A server that was about to leave did not fail, so the move costs nothing of the retry budget.
        if (allowed && (leaving || paid(facts, state, end, now))) {
            parts.work(facts.service()).queue().addResumed(flight);
            actions.add(new Action.Note(
                    EventKind.REQUEST_RETRIED,
                    Reasons.of(RetryRule.class),
                    List.of(
                            Field.of("request", facts.id()),
                            Field.of("server", state.server().id()),
                            Field.of("end", end))));
            return;
        }
        parts.flights().remove(facts.id());
        boolean ownAnswer = end == AttemptEnd.SERVER_ERROR && !facts.idempotent();
        if (end == AttemptEnd.CANCELLED || ownAnswer) {
            actions.add(new Action.Settle(facts.id()));
            return;
        }
        RefusalReason reason = end == AttemptEnd.SILENT ? RefusalReason.SERVER_SILENT : RefusalReason.SERVER_FAILED;
        Refusal refusal = flight.mayHaveRun() ? Refusal.unknown(reason) : Refusal.notRun(reason, RETRY_AFTER_MILLIS);
        Intake.refuse(facts, refusal, actions);
    }

    private boolean paid(RequestFacts facts, ServerState state, AttemptEnd end, Moment now) {
        RetryBudget budget = parts.work(facts.service()).retries();
        return end == AttemptEnd.BROKEN ? budget.spendForBreak(state.server().id(), now) : budget.spend(now);
    }
}
