package org.geraniumstand.http.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.nio.ByteBuffer;
import org.geraniumstand.http.upstream.AnswerHead;
import org.geraniumstand.http.upstream.FlowControl;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.Outcome;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.support.net.AnswerLimits;
import org.geraniumstand.support.net.HttpBody;

/**
 * Relays an answer that is not an event stream.
 *
 * <p>The answer to an idempotent request is buffered until it is complete, so that another attempt can replace a broken
 * one. An answer that is larger than {@link AnswerLimits#MAX_BUFFERED_BYTES}, or that answers a request that must not be retried,
 * is relayed as it arrives.
 */
final class AnswerRelay implements Relay {

    private final HttpServerExchange exchange;
    private final String callerRequestId;
    private final boolean idempotent;
    private final KeptAnswer buffered;
    private final CallerOutput output;
    private FlowControl flow;
    private AnswerHead head;
    private boolean complete;
    private boolean committed;
    private boolean callerDisconnected;

    AnswerRelay(HttpServerExchange exchange, String callerRequestId, boolean idempotent) {
        this.exchange = exchange;
        this.callerRequestId = callerRequestId;
        this.idempotent = idempotent;
        this.buffered = new KeptAnswer(exchange);
        this.output = new CallerOutput(exchange, callerRequestId);
    }

    @Override
    public HttpBody bodyFor(HttpBody original) {
        buffered.clear();
        head = null;
        complete = false;
        return original;
    }

    @Override
    public void setUpstream(FlowControl next) {
        flow = next;
    }

    @Override
    public void onHead(AnswerHead answerHead) {
        head = answerHead;
        if (!idempotent && !head.declaresNotRun()) {
            commit();
        }
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        if (callerDisconnected) {
            return;
        }
        byte[] part = new byte[bytes.remaining()];
        bytes.get(part);
        if (committed) {
            output.send(ByteBuffer.wrap(part));
            return;
        }
        boolean room = buffered.add(part);
        // Without room an answer is passed on as it comes, but not one that another attempt should replace.
        boolean mayPassOn = !head.serverError() && !head.declaresNotRun();
        if (buffered.size() > AnswerLimits.MAX_BUFFERED_BYTES || (!room && mayPassOn)) {
            commit();
        }
    }

    @Override
    public AttemptEnd classify(AttemptEnd end) {
        complete = end == AttemptEnd.ANSWERED || end == AttemptEnd.SERVER_ERROR || end == AttemptEnd.DECLINED;
        return end;
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean committed() {
        return committed;
    }

    @Override
    public int tokens() {
        return 0;
    }

    @Override
    public int cachedTokens() {
        return -1;
    }

    @Override
    public void finish() {
        if (callerDisconnected) {
            return;
        }
        if (!complete) {
            output.abort();
        } else if (committed) {
            output.end();
        } else {
            sendBuffered();
        }
    }

    @Override
    public void refuse(Refusal refusal) {
        if (callerDisconnected) {
            return;
        }
        if (committed) {
            output.abort();
        } else if (complete && head.serverError() && !head.declaresNotRun()) {
            sendBuffered();
        } else {
            ProblemWriter.send(exchange, callerRequestId, refusal, "");
        }
    }

    @Override
    public void onCallerDisconnected() {
        callerDisconnected = true;
        if (flow != null) {
            flow.resume();
        }
    }

    private void commit() {
        if (callerDisconnected || committed) {
            return;
        }
        committed = true;
        writeHead();
        head.contentLength().ifPresent(length -> exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, length));
        output.setUpstream(flow);
        if (buffered.size() > 0) {
            output.send(ByteBuffer.wrap(buffered.take()));
        }
    }

    private void sendBuffered() {
        writeHead();
        if (exchange.getRequestMethod().equals(Methods.HEAD)) {
            head.contentLength()
                    .ifPresent(length -> exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, length));
            exchange.endExchange();
        } else {
            CallerOutput.sendWhole(exchange, buffered.take());
        }
    }

    private void writeHead() {
        exchange.setStatusCode(head.status());
        RelayedHeaders.copy(head.headers(), exchange.getResponseHeaders());
        exchange.getResponseHeaders().put(RelayedHeaders.REQUEST_ID, callerRequestId);
        if (head.serverError()) {
            exchange.getResponseHeaders().put(AnswerHead.OUTCOME, Outcome.UNKNOWN.text());
        }
    }
}
