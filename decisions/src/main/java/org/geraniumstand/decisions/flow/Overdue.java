package org.geraniumstand.decisions.flow;

import java.util.List;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.decisions.flight.Flight;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.request.RequestFacts;
import org.geraniumstand.model.time.Moment;

/** Gives up answers that are not whole when their callers stop waiting. */
@Decision(name = "overdue", summary = "The caller's deadline passed before the answer was whole.")
public final class Overdue {
    private final Parts parts;

    /**
     * Creates the decision.
     *
     * @param parts what decisions share
     */
    public Overdue(Parts parts) {
        this.parts = parts;
    }

    /**
     * Ends the attempts whose callers have stopped waiting.
     *
     * <p>An attempt that may run at most once is left alone, because its server may still take the order in.
     *
     * @param now the time
     * @param actions filled with what is to be done
     */
    public void onTick(Moment now, List<Action> actions) {
        List<Flight> late = parts.flights().values().stream()
                .filter(flight ->
                        !flight.waits() && now.nanos() >= flight.facts().deadlineNanos())
                .toList();
        late.forEach(flight -> giveUp(flight, actions));
    }

    private void giveUp(Flight flight, List<Action> actions) {
        RequestFacts facts = flight.facts();
        flight.release(true);
        parts.flights().remove(facts.id());
        if (facts.idempotent()) {
            actions.add(new Action.CancelAttempt(facts.id(), flight.attempt()));
        }
        Intake.refuse(facts, Refusal.unknown(RefusalReason.DEADLINE), actions);
    }
}
