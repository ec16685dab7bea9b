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

/**
 * Ensures that an order with an idempotency key is dispatched at most once; confined to the I/O thread of its request.
 */
public final class OrderGate {
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final String KEY_PLACEHOLDER = "{key}";

    private final Admission admission;
    private final RequestId id;
    private final long deadlineNanos;
    private final OrderClaims claims;
    private final UpstreamClient upstream;
    private final XnioIoThread thread;
    private final ClaimHandler handler;
    private final ClaimChange openChange;
    private boolean claimHeld;
    private boolean released;
    private boolean lookedUp;

    /** Receives the result of an order's claim. */
    public interface ClaimHandler {
        /**
         * Called when the claim is granted and the order may be dispatched.
         *
         * @param dispatch the decision to dispatch the order to a backend server
         */
        void onGranted(Action.Dispatch dispatch);

        /**
         * Called when the order ran before and its answer is recorded.
         *
         * @param answer the recorded answer
         */
        void onAlreadyRun(RecordedAnswer answer);

        /**
         * Called when the order must not be dispatched.
         *
         * @param refusal the refusal to send to the caller
         */
        void onRefused(Refusal refusal);
    }

    /**
     * Creates a gate for one request.
     *
     * @param self the id of this process
     * @param id the id of the request
     * @param admission the request with the results of all filters
     * @param claims stores the claims
     * @param upstream sends lookups of orders to backend servers
     * @param thread the request's I/O thread
     * @param handler receives the result of the claim
     */
    public OrderGate(
            ProcessId self,
            RequestId id,
            Admission admission,
            OrderClaims claims,
            UpstreamClient upstream,
            XnioIoThread thread,
            ClaimHandler handler) {
        this.id = id;
        this.admission = admission;
        this.deadlineNanos = admission.deadlineNanos();
        this.claims = claims;
        this.upstream = upstream;
        this.thread = thread;
        this.handler = handler;
        CallerRequest request = admission.request();
        this.openChange = new ClaimChange(
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
     * Requests the claim and reports the result to the handler.
     *
     * @param dispatch the decision to dispatch the order to a backend server
     */
    public void requestClaim(Action.Dispatch dispatch) {
        claims.open(
                openChange, deadlineNanos, claimResult -> thread.execute(() -> onClaimResult(dispatch, claimResult)));
    }

    /** Releases the claim because the caller disconnected or was refused before the order was dispatched. */
    public void release() {
        released = true;
        settle(ClaimChange.Kind.NOT_RUN, RecordedAnswer.NONE);
    }

    /**
     * Records the outcome of the order if this request holds the claim.
     *
     * @param kind the outcome of the order: answered, not run or unknown
     * @param answer the recorded answer, or {@link RecordedAnswer#NONE}
     */
    public void settle(ClaimChange.Kind kind, RecordedAnswer answer) {
        if (claimHeld) {
            claimHeld = kind == ClaimChange.Kind.UNKNOWN;
            claims.settle(openChange.settle(kind, answer));
        }
    }

    private void onClaimResult(Action.Dispatch dispatch, ClaimResult claimResult) {
        if (claimResult.kind() == ClaimResult.Kind.GRANTED) {
            claimHeld = true;
        }
        if (released) {
            settle(ClaimChange.Kind.NOT_RUN, RecordedAnswer.NONE);
            return;
        }
        switch (claimResult.kind()) {
            case GRANTED -> dispatchUnlessExpired(dispatch);
            case REPLAY -> reportRecorded(claimResult.claim().orElseThrow().answer());
            case KEY_REUSED -> handler.onRefused(Refusal.notRun(RefusalReason.KEY_REUSED, 0));
            case UNKNOWN, IN_FLIGHT -> lookUpOrder(dispatch, claimResult.claim());
            default -> handler.onRefused(Refusal.notRun(RefusalReason.STORE_UNAVAILABLE, RETRY_AFTER_MILLIS));
        }
    }

    // If this process was paused, the claim may have been granted long ago and the caller no longer waits.
    private void dispatchUnlessExpired(Action.Dispatch dispatch) {
        if (System.nanoTime() - deadlineNanos >= 0) {
            settle(ClaimChange.Kind.NOT_RUN, RecordedAnswer.NONE);
            handler.onRefused(Refusal.notRun(RefusalReason.DEADLINE, RETRY_AFTER_MILLIS));
        } else {
            handler.onGranted(dispatch);
        }
    }

    private void reportRecorded(RecordedAnswer answer) {
        if (answer.kept()) {
            handler.onAlreadyRun(answer);
        } else {
            handler.onRefused(new Refusal(RefusalReason.ALREADY_RUN, Outcome.RAN, 0));
        }
    }

    private void lookUpOrder(Action.Dispatch dispatch, Optional<Claim> claim) {
        String path = admission.route().map(Route::lookupPath).orElse("");
        if (path == null || path.isEmpty() || claim.isEmpty() || lookedUp) {
            handler.onRefused(Refusal.unknown(RefusalReason.KEY_UNSETTLED));
            return;
        }
        lookedUp = true;
        String key = URLEncoder.encode(admission.request().idempotencyKey().orElseThrow(), StandardCharsets.UTF_8)
                .replace("+", "%20");
        AttemptSpec spec = new AttemptSpec(
                dispatch.server().address(),
                dispatch.server().port(),
                "GET",
                path.replace(KEY_PLACEHOLDER, key),
                List.of(),
                id + ".lookup",
                HttpBody.EMPTY,
                dispatch.limits());
        upstream.prepare(
                        spec,
                        thread,
                        new OrderLookup((result, answer) -> onLookupResult(dispatch, claim.get(), result, answer)))
                .start();
    }

    private void onLookupResult(
            Action.Dispatch dispatch, Claim claim, OrderLookup.LookupResult result, RecordedAnswer answer) {
        long ageMillis = System.currentTimeMillis() - claim.atEpochMillis();
        ClaimState state = LookupInterpretation.stateOf(result.status(), result.declaredNotRun(), ageMillis);
        ClaimChange change = new ClaimChange(
                ClaimChange.Kind.NOT_RUN,
                claim.key(),
                claim.fingerprint(),
                claim.token(),
                claim.holder(),
                RecordedAnswer.NONE);
        if (state == ClaimState.ANSWERED) {
            claims.settle(change.settle(ClaimChange.Kind.ANSWERED, answer));
            reportRecorded(answer);
        } else if (state == ClaimState.NOT_RUN) {
            claims.settle(change);
            requestClaim(dispatch);
        } else {
            handler.onRefused(Refusal.unknown(RefusalReason.KEY_UNSETTLED));
        }
    }
}
