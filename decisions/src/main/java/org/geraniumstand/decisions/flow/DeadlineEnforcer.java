package org.geraniumstand.decisions.flow;

import java.util.List;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.decisions.request.InFlightRequest;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.request.RequestInfo;
import org.geraniumstand.model.time.Timestamp;

/** Ends requests whose response is incomplete when their deadline passes. */
@Decision(name = "overdue", summary = "A request ends when its deadline passes before its response is complete.")
public final class DeadlineEnforcer {
    private final DecisionContext context;

    /**
     * Creates the deadline enforcer of a process.
     *
     * @param context state shared by the decisions of the process
     */
    public DeadlineEnforcer(DecisionContext context) {
        this.context = context;
    }

    /**
     * Ends the requests in progress whose deadline has passed.
     *
     * <p>An attempt of a request that may run at most once is not cancelled, because its server may still accept the
     * order.
     *
     * @param now the current time
     * @param actions receives the resulting actions
     */
    public void onTick(Timestamp now, List<Action> actions) {
        List<InFlightRequest> late = context.requests().values().stream()
                .filter(request ->
                        !request.isWaiting() && now.nanos() >= request.info().deadlineNanos())
                .toList();
        late.forEach(request -> end(request, actions));
    }

    private void end(InFlightRequest request, List<Action> actions) {
        RequestInfo info = request.info();
        request.endAttempt(true);
        context.requests().remove(info.id());
        if (info.idempotent()) {
            actions.add(new Action.CancelAttempt(info.id(), request.attempt()));
        }
        AdmissionController.refuse(info, Refusal.unknown(RefusalReason.DEADLINE), actions);
    }
}
