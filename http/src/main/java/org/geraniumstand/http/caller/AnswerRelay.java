package org.geraniumstand.http.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.geraniumstand.http.upstream.AnswerHead;
import org.geraniumstand.http.upstream.Flow;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.Outcome;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.support.net.HttpBody;

/**
 * Relays an answer that is no stream.
 *
 * <p>The answer to an idempotent request is held until it is whole, so that another attempt can replace a broken one.
 * An answer that is larger than {@link #HOLD_BYTES}, or to a request that may not be repeated, is passed on as it comes.
 */
final class AnswerRelay implements Relay {
    /** Largest part of an answer that is held, in bytes. */
    static final int HOLD_BYTES = 256 * 1024;

    private final HttpServerExchange exchange;
    private final String callerRequestId;
    private final boolean idempotent;
    private final ByteArrayOutputStream held = new ByteArrayOutputStream();
    private final CallerOutput output;
    private Flow flow;
    private AnswerHead head;
    private boolean whole;
    private boolean committed;
    private boolean callerLeft;

    AnswerRelay(HttpServerExchange exchange, String callerRequestId, boolean idempotent) {
        this.exchange = exchange;
        this.callerRequestId = callerRequestId;
        this.idempotent = idempotent;
        this.output = new CallerOutput(exchange);
    }

    @Override
    public HttpBody bodyFor(HttpBody original) {
        held.reset();
        head = null;
        whole = false;
        return original;
    }

    @Override
    public void hold(Flow next) {
        flow = next;
    }

    @Override
    public void onHead(AnswerHead answerHead) {
        head = answerHead;
        if (!idempotent && !head.vouchesNotRun()) {
            commit();
        }
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        if (callerLeft) {
            return;
        }
        byte[] part = new byte[bytes.remaining()];
        bytes.get(part);
        if (committed) {
            output.send(ByteBuffer.wrap(part));
            return;
        }
        if (held.size() + part.length <= HOLD_BYTES) {
            held.write(part, 0, part.length);
            return;
        }
        commit();
        output.send(ByteBuffer.wrap(part));
    }

    @Override
    public AttemptEnd judge(AttemptEnd end) {
        whole = end == AttemptEnd.ANSWERED || end == AttemptEnd.SERVER_ERROR || end == AttemptEnd.DECLINED;
        return end;
    }

    @Override
    public boolean nothingLeft() {
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
        if (callerLeft) {
            return;
        }
        if (!whole) {
            output.cut();
        } else if (committed) {
            output.end();
        } else {
            sendHeld();
        }
    }

    @Override
    public void refuse(Refusal refusal) {
        if (callerLeft) {
            return;
        }
        if (committed) {
            output.cut();
        } else if (whole && head.serverError() && !head.vouchesNotRun()) {
            sendHeld();
        } else {
            Problems.send(exchange, callerRequestId, refusal, "");
        }
    }

    @Override
    public void onCallerLeft() {
        callerLeft = true;
        if (flow != null) {
            flow.resume();
        }
    }

    private void commit() {
        if (callerLeft || committed) {
            return;
        }
        committed = true;
        writeHead();
        head.contentLength().ifPresent(length -> exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, length));
        output.hold(flow);
        if (held.size() > 0) {
            output.send(ByteBuffer.wrap(held.toByteArray()));
        }
    }

    private void sendHeld() {
        writeHead();
        if (exchange.getRequestMethod().equals(Methods.HEAD)) {
            head.contentLength()
                    .ifPresent(length -> exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, length));
            exchange.endExchange();
        } else {
            exchange.getResponseSender().send(ByteBuffer.wrap(held.toByteArray()));
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
