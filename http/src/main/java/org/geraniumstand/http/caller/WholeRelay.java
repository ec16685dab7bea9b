package org.geraniumstand.http.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.geraniumstand.http.upstream.AttemptListener.AnswerHead;
import org.geraniumstand.platform.net.HttpBody;

/** Holds an answer until it is whole, so that another attempt can replace a broken one. */
final class WholeRelay implements Relay {
    private final HttpServerExchange exchange;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private AnswerHead head;

    WholeRelay(HttpServerExchange exchange) {
        this.exchange = exchange;
    }

    @Override
    public HttpBody bodyFor(HttpBody original) {
        body.reset();
        return original;
    }

    @Override
    public void onHead(AnswerHead answerHead) {
        head = answerHead;
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        byte[] part = new byte[bytes.remaining()];
        bytes.get(part);
        body.write(part, 0, part.length);
    }

    @Override
    public boolean whole() {
        return head != null;
    }

    @Override
    public int tokens() {
        return 0;
    }

    @Override
    public void finish() {
        exchange.setStatusCode(head.status());
        head.contentType().ifPresent(type -> exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type));
        exchange.getResponseSender().send(ByteBuffer.wrap(body.toByteArray()));
    }
}
