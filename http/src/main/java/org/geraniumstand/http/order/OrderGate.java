package org.geraniumstand.http.order;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.orders.Claim;
import org.geraniumstand.decisions.orders.ClaimChange;
import org.geraniumstand.decisions.orders.ClaimKeys;
import org.geraniumstand.decisions.orders.ClaimResult;
import org.geraniumstand.decisions.orders.ClaimState;
import org.geraniumstand.decisions.orders.LookupInterpretation;
import org.geraniumstand.decisions.orders.RecordedAnswer;
import org.geraniumstand.http.filter.Admission;
import org.geraniumstand.http.filter.CallerRequest;
import org.geraniumstand.http.upstream.AttemptSpec;
import org.geraniumstand.http.upstream.UpstreamClient;
import org.geraniumstand.model.config.Route;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.request.Outcome;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.support.net.HttpBody;
import org.xnio.XnioIoThread;

/** Lets one keyed order through to its backend server at most once; belongs to the I/O thread of its request. */
public final class OrderGate {
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final String KEY = "{key}";

    private final Admission admission;
    private final RequestId id;
    private final long deadlineNanos;
    private final Orders orders;
    private final UpstreamClient upstream;
    private final XnioIoThread thread;
    private final Exit exit;
    private final ClaimChange wish;
    private boolean open;
    private boolean left;
    private boolean lookedUp;

    /** Where an order goes from the gate. */
    public interface Exit {
        /**
         * The order may be dispatched.
         *
         * @param dispatch what was decided about it
         */
        void pass(Action.Dispatch dispatch);

        /**
         * The order ran before; this is its answer.
         *
         * @param answer the recorded answer
         */
        void replay(RecordedAnswer answer);

        /**
         * The order is not dispatched.
         *
         * @param refusal the final answer
         */
        void refuse(Refusal refusal);
    }

    /**
     * Creates the gate of a request.
     *
     * @param self the process
     * @param id the request
     * @param admission what is known about it
     * @param orders records claims
     * @param upstream looks orders up
     * @param thread the request's I/O thread
     * @param exit where the order goes
     */
    public OrderGate(
            ProcessId self,
            RequestId id,
            Admission admission,
            Orders orders,
            UpstreamClient upstream,
            XnioIoThread thread,
            Exit exit) {
        this.id = id;
        this.admission = admission;
        this.deadlineNanos = admission.deadlineNanos();
        this.orders = orders;
        this.upstream = upstream;
        this.thread = thread;
        this.exit = exit;
        CallerRequest request = admission.request();
        this.wish = new ClaimChange(
                ClaimChange.Kind.OPEN,
                ClaimKeys.key(
                        admission.team().orElseThrow().id(),
                        request.idempotencyKey().orElseThrow()),
                ClaimKeys.fingerprint(
                        request.method(), request.target(), request.body().buffer()),
                id.value(),
                self,
                RecordedAnswer.NONE);
    }

    /**
     * Asks for the claim and passes the order on when it is granted.
     *
     * @param dispatch what was decided about the order
     */
    public void enter(Action.Dispatch dispatch) {
        orders.open(wish, deadlineNanos, verdict -> thread.execute(() -> decide(dispatch, verdict)));
    }

    /** Takes note that the caller left or was refused before the order was dispatched. */
    public void leave() {
        left = true;
        settle(ClaimChange.Kind.NOT_RUN, RecordedAnswer.NONE);
    }

    /**
     * Records how the order ended, if this request holds the claim.
     *
     * @param how answered, not run or unknown
     * @param answer the answer, or {@link RecordedAnswer#NONE}
     */
    public void settle(ClaimChange.Kind how, RecordedAnswer answer) {
        if (open) {
            open = how == ClaimChange.Kind.UNKNOWN;
            orders.settle(wish.settle(how, answer));
        }
    }

    private void decide(Action.Dispatch dispatch, ClaimResult verdict) {
        if (verdict.kind() == ClaimResult.Kind.GRANTED) {
            open = true;
        }
        if (left) {
            settle(ClaimChange.Kind.NOT_RUN, RecordedAnswer.NONE);
            return;
        }
        switch (verdict.kind()) {
            case GRANTED -> pass(dispatch);
            case REPLAY -> replay(verdict.claim().orElseThrow().answer());
            case KEY_REUSED -> exit.refuse(Refusal.notRun(RefusalReason.KEY_REUSED, 0));
            case UNKNOWN, IN_FLIGHT -> lookUp(dispatch, verdict.claim());
            default -> exit.refuse(Refusal.notRun(RefusalReason.STORE_UNAVAILABLE, RETRY_AFTER_MILLIS));
        }
    }

    // A process that was paused may find its claim granted long ago; nobody waits for the order any more.
    private void pass(Action.Dispatch dispatch) {
        if (System.nanoTime() - deadlineNanos >= 0) {
            settle(ClaimChange.Kind.NOT_RUN, RecordedAnswer.NONE);
            exit.refuse(Refusal.notRun(RefusalReason.DEADLINE, RETRY_AFTER_MILLIS));
        } else {
            exit.pass(dispatch);
        }
    }

    private void replay(RecordedAnswer answer) {
        if (answer.kept()) {
            exit.replay(answer);
        } else {
            exit.refuse(new Refusal(RefusalReason.ALREADY_RUN, Outcome.RAN, 0));
        }
    }

    private void lookUp(Action.Dispatch dispatch, Optional<Claim> claim) {
        String path = admission.route().map(Route::lookupPath).orElse("");
        if (path == null || path.isEmpty() || claim.isEmpty() || lookedUp) {
            exit.refuse(Refusal.unknown(RefusalReason.KEY_UNSETTLED));
            return;
        }
        lookedUp = true;
        String key = URLEncoder.encode(admission.request().idempotencyKey().orElseThrow(), StandardCharsets.UTF_8)
                .replace("+", "%20");
        AttemptSpec spec = new AttemptSpec(
                dispatch.server().address(),
                dispatch.server().port(),
                "GET",
                path.replace(KEY, key),
                List.of(),
                id + ".lookup",
                HttpBody.EMPTY,
                dispatch.limits());
        upstream.prepare(spec, thread, new Lookup((found, answer) -> read(dispatch, claim.get(), found, answer)))
                .start();
    }

    private void read(Action.Dispatch dispatch, Claim claim, Lookup.Found found, RecordedAnswer answer) {
        long ageMillis = System.currentTimeMillis() - claim.atEpochMillis();
        ClaimState state = LookupInterpretation.stateOf(found.status(), found.vouchedNotRun(), ageMillis);
        ClaimChange change = new ClaimChange(
                ClaimChange.Kind.NOT_RUN,
                claim.key(),
                claim.fingerprint(),
                claim.token(),
                claim.holder(),
                RecordedAnswer.NONE);
        if (state == ClaimState.ANSWERED) {
            orders.settle(change.settle(ClaimChange.Kind.ANSWERED, answer));
            replay(answer);
        } else if (state == ClaimState.NOT_RUN) {
            orders.settle(change);
            enter(dispatch);
        } else {
            exit.refuse(Refusal.unknown(RefusalReason.KEY_UNSETTLED));
        }
    }
}
