package org.geraniumstand.http.caller;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.IoUtils;

/** Writes a stream of text to a caller in order; belongs to the exchange's I/O thread. */
final class CallerStream {
    private final HttpServerExchange exchange;
    private final StringBuilder waiting = new StringBuilder();
    private boolean sending;
    private boolean ended;

    CallerStream(HttpServerExchange exchange) {
        this.exchange = exchange;
    }

    void send(String text) {
        waiting.append(text);
        pump();
    }

    void end() {
        ended = true;
        pump();
    }

    private void pump() {
        if (sending) {
            return;
        }
        if (waiting.length() == 0) {
            if (ended) {
                exchange.endExchange();
            }
            return;
        }
        sending = true;
        ByteBuffer bytes = ByteBuffer.wrap(waiting.toString().getBytes(StandardCharsets.UTF_8));
        waiting.setLength(0);
        exchange.getResponseSender().send(bytes, new Sent());
    }

    private final class Sent implements IoCallback {
        @Override
        public void onComplete(HttpServerExchange _exchange, Sender _sender) {
            sending = false;
            pump();
        }

        @Override
        public void onException(HttpServerExchange _exchange, Sender _sender, IOException _e) {
            IoUtils.safeClose(exchange.getConnection());
        }
    }
}
