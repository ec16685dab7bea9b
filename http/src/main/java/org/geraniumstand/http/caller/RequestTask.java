package org.geraniumstand.http.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.nio.ByteBuffer;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.http.CoreInbox;
import org.geraniumstand.http.RequestMailbox;
import org.geraniumstand.http.filter.Admission;
import org.geraniumstand.http.filter.CallerRequest;
import org.geraniumstand.http.upstream.Attempt;
import org.geraniumstand.http.upstream.AttemptListener;
import org.geraniumstand.http.upstream.AttemptSpec;
import org.geraniumstand.http.upstream.UpstreamClient;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.AttemptReport;
import org.geraniumstand.model.time.Moment;
import org.xnio.XnioIoThread;

/** Owns a caller's exchange and the attempts to answer it; all of it runs on the exchange's I/O thread. */
final class RequestTask implements RequestMailbox {
    private static final HttpString REQUEST_ID = new HttpString("X-Request-Id");

    private final HttpServerExchange exchange;
    private final XnioIoThread thread;
    private final RequestId id;
    private final Admission admission;
    private final UpstreamClient upstream;
    private final CoreInbox core;
    private final Relay relay;
    private Attempt attempt;
    private boolean done;

    RequestTask(
            HttpServerExchange exchange, RequestId id, Admission admission, UpstreamClient upstream, CoreInbox core) {
        this.exchange = exchange;
        this.thread = exchange.getIoThread();
        this.id = id;
        this.admission = admission;
        this.upstream = upstream;
        this.core = core;
        this.relay = admission.streaming()
                ? new StreamRelay(exchange, admission.completion().orElseThrow())
                : new WholeRelay(exchange);
        exchange.addExchangeCompleteListener((_exchange, next) -> {
            onExchangeEnd();
            next.proceed();
        });
    }

    @Override
    public void post(Action action) {
        thread.execute(() -> act(action));
    }

    @Override
    public String callerRequestId() {
        return admission.request().callerRequestId();
    }

    private void act(Action action) {
        if (done) {
            return;
        }
        if (action instanceof Action.Dispatch dispatch) {
            dispatch(dispatch);
        } else if (action instanceof Action.Refuse refuse) {
            done = true;
            Problems.send(exchange, admission.request().callerRequestId(), refuse.refusal());
        } else if (action instanceof Action.CancelAttempt && attempt != null) {
            attempt.cancel();
        }
    }

    private void dispatch(Action.Dispatch dispatch) {
        CallerRequest request = admission.request();
        String query = request.query().isEmpty() ? "" : "?" + request.query();
        AttemptSpec spec = new AttemptSpec(
                dispatch.server(),
                request.method(),
                request.path() + query,
                request.contentType(),
                request.idempotencyKey(),
                id + "." + dispatch.attempt(),
                relay.bodyFor(request.body()),
                dispatch.limits());
        attempt = upstream.start(spec, thread, new Progress(dispatch.attempt()));
    }

    private void onExchangeEnd() {
        if (!done) {
            done = true;
            core.tell(new Observation.RequestAbandoned(id));
            if (attempt != null) {
                attempt.cancel();
            }
        }
    }

    /** Passes on what one attempt brings. */
    private final class Progress implements AttemptListener {
        private final int number;
        private final long startNanos = System.nanoTime();
        private long firstByteMillis = -1;

        Progress(int number) {
            this.number = number;
        }

        @Override
        public void onHead(AnswerHead head) {
            firstByteMillis = elapsedMillis();
            core.tell(new Observation.AnswerStarted(id, number, firstByteMillis));
            relay.onHead(head);
        }

        @Override
        public void onBytes(ByteBuffer bytes) {
            int before = relay.tokens();
            relay.onBytes(bytes);
            if (relay.tokens() > before) {
                core.tell(new Observation.StreamAdvanced(id, number, relay.tokens()));
            }
        }

        @Override
        public void onEnd(AttemptEnd end) {
            AttemptEnd checked = end == AttemptEnd.ANSWERED && !relay.whole() ? AttemptEnd.BROKEN : end;
            if (checked == AttemptEnd.ANSWERED) {
                done = true;
                exchange.getResponseHeaders()
                        .put(REQUEST_ID, admission.request().callerRequestId());
                relay.finish();
            }
            core.tell(new Observation.AttemptEnded(
                    id, number, new AttemptReport(checked, firstByteMillis, elapsedMillis(), relay.tokens(), -1)));
        }

        private long elapsedMillis() {
            return (System.nanoTime() - startNanos) / Moment.NANOS_PER_MILLI;
        }
    }
}
