package org.geraniumstand.http.opaque;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.ByteBuffer;
import java.time.Instant;
import org.geraniumstand.http.caller.CallerOutput;
import org.geraniumstand.http.caller.RelayedHeaders;
import org.geraniumstand.http.upstream.AnswerHead;
import org.geraniumstand.http.upstream.FlowControl;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.outside.relay.HeaderCodec;
import org.geraniumstand.support.json.JsonTree;

/** Writes the answer of an exchange to its caller. */
final class CallerAnswer {
    private final HttpServerExchange exchange;
    private final HttpDate date;
    private final HeaderCodec codec;
    private final CallerOutput output;
    private boolean started;
    private boolean ended;

    CallerAnswer(HttpServerExchange exchange, String attempt, HttpDate date, HeaderCodec codec) {
        this.exchange = exchange;
        this.date = date;
        this.codec = codec;
        this.output = new CallerOutput(exchange, attempt);
    }

    boolean started() {
        return started;
    }

    /** Applies backpressure to this attempt from now on. */
    void setUpstream(FlowControl flow) {
        output.setUpstream(flow);
    }

    /** Writes the status and headers of a server's answer of unknown length. */
    void start(AnswerHead head) {
        started = true;
        exchange.setStatusCode(head.status());
        RelayedHeaders.copy(head.headers(), exchange.getResponseHeaders());
        head.headers().getHeaderNames().stream()
                .filter(name -> !codec.isForCallers(name.toString()))
                .forEach(name -> exchange.getResponseHeaders().remove(name));
        addDate();
    }

    /** Writes a part of the body. */
    void send(byte[] bytes) {
        if (!ended && bytes.length > 0) {
            output.send(ByteBuffer.wrap(bytes));
        }
    }

    /** Ends the complete answer. */
    void end() {
        ended = true;
        output.end();
    }

    /** Writes a complete answer of a server. */
    void sendComplete(AnswerHead head, byte[] body) {
        start(head);
        ended = true;
        exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.length);
        CallerOutput.sendWhole(exchange, body);
    }

    /** Closes the connection after the bytes sent so far, so that the caller can tell that the answer is incomplete. */
    void abort() {
        ended = true;
        output.drainAndAbort();
    }

    /** Writes a refusal, or aborts the answer if it has started. */
    void refuse(Refusal refusal, String attempt) {
        if (ended) {
            return;
        }
        if (started) {
            abort();
            return;
        }
        ended = true;
        exchange.setStatusCode(refusal.reason().status());
        codec.refusalHeaders(attempt, refusal.retryAfterMillis())
                .forEach(h -> exchange.getResponseHeaders().put(HttpString.tryFromString(h.name()), h.value()));
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/problem+json");
        addDate();
        exchange.getResponseSender().send(problem(refusal));
    }

    private void addDate() {
        if (!exchange.getResponseHeaders().contains(Headers.DATE)) {
            exchange.getResponseHeaders().put(Headers.DATE, date.at(Instant.now()));
        }
    }

    private static String problem(Refusal refusal) {
        return JsonTree.write(JsonTree.object()
                .put("status", refusal.reason().status())
                .put("title", refusal.reason().summary())
                .put("reason", refusal.reason().text())
                .put("outcome", refusal.outcome().text()));
    }
}
