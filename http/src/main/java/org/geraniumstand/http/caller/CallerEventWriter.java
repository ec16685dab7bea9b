package org.geraniumstand.http.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.geraniumstand.http.upstream.FlowControl;
import org.geraniumstand.model.request.Refusal;

/** Writes the events of a stream to its caller as server-sent events. */
final class CallerEventWriter implements EventSink {
    private static final String EVENT_STREAM = "text/event-stream";

    private final HttpServerExchange exchange;
    private final String callerRequestId;
    private final CallerOutput output;
    private boolean started;
    private boolean callerDisconnected;

    CallerEventWriter(HttpServerExchange exchange, String callerRequestId) {
        this.exchange = exchange;
        this.callerRequestId = callerRequestId;
        this.output = new CallerOutput(exchange, callerRequestId);
    }

    @Override
    public void setUpstream(FlowControl flow) {
        output.setUpstream(flow);
    }

    @Override
    public void event(int id, String data) {
        StringBuilder text = new StringBuilder(data.length() + 32);
        text.append("id: ").append(id).append('\n');
        for (String line : data.split("\n", -1)) {
            text.append("data: ").append(line).append('\n');
        }
        write(text.append('\n').toString());
    }

    @Override
    public void end() {
        if (!callerDisconnected) {
            output.end();
        }
    }

    @Override
    public void refuse(Refusal refusal) {
        if (callerDisconnected) {
            return;
        }
        if (started) {
            output.abort();
        } else {
            ProblemWriter.send(exchange, callerRequestId, refusal, "");
        }
    }

    @Override
    public void endForHandover() {
        if (callerDisconnected) {
            return;
        }
        if (!started) {
            write(": the stream goes on at another process\n\n");
        }
        output.drainAndAbort();
    }

    @Override
    public void onCallerDisconnected() {
        callerDisconnected = true;
    }

    private void write(String text) {
        if (callerDisconnected) {
            return;
        }
        if (!started) {
            started = true;
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, EVENT_STREAM);
            exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-cache");
            exchange.getResponseHeaders().put(RelayedHeaders.REQUEST_ID, callerRequestId);
        }
        output.send(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }
}
