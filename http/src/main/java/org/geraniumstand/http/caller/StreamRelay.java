package org.geraniumstand.http.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import org.geraniumstand.http.filter.Completion;
import org.geraniumstand.http.upstream.AttemptListener.AnswerHead;
import org.geraniumstand.http.upstream.EventStream;
import org.geraniumstand.platform.json.Json;
import org.geraniumstand.platform.net.HttpBody;

/** Relays a stream of completion events; after a break the next attempt goes on from the last relayed token. */
final class StreamRelay implements Relay {
    private static final String DONE = "[DONE]";
    private static final int OK = 200;

    private final HttpServerExchange exchange;
    private final Completion completion;
    private final CallerStream caller;
    private final StringBuilder generated = new StringBuilder();
    private EventStream events = new EventStream(this::onEvent);
    private int status = OK;
    private int tokens;
    private int eventId;
    private boolean whole;

    StreamRelay(HttpServerExchange exchange, Completion completion) {
        this.exchange = exchange;
        this.completion = completion;
        this.caller = new CallerStream(exchange);
    }

    @Override
    public HttpBody bodyFor(HttpBody original) {
        events = new EventStream(this::onEvent);
        if (tokens == 0) {
            return original;
        }
        ObjectNode body = completion.document().deepCopy();
        ArrayNode messages = (ArrayNode) body.path("messages");
        messages.addObject().put("role", "assistant").put("content", generated.toString());
        body.put("continue_final_message", true);
        body.put("add_generation_prompt", false);
        body.put("max_tokens", completion.maxTokens() - tokens);
        return HttpBody.of(body.toString());
    }

    @Override
    public void onHead(AnswerHead head) {
        status = head.status();
        if (status == OK && !exchange.isResponseStarted()) {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
        }
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        if (status == OK) {
            events.accept(bytes);
        }
    }

    @Override
    public boolean whole() {
        return whole;
    }

    @Override
    public int tokens() {
        return tokens;
    }

    @Override
    public void finish() {
        caller.end();
    }

    private void onEvent(String data) {
        if (whole) {
            return;
        }
        if (data.equals(DONE)) {
            whole = true;
            send(data);
            return;
        }
        String content = contentOf(data);
        if (!content.isEmpty()) {
            generated.append(content);
            tokens++;
        }
        send(data);
    }

    private void send(String data) {
        eventId++;
        caller.send("id: " + eventId + "\ndata: " + data + "\n\n");
    }

    private static String contentOf(String data) {
        try {
            JsonNode event = Json.LENIENT.readTree(data);
            return event.path("choices").path(0).path("delta").path("content").asText("");
        } catch (JsonProcessingException _e) {
            return "";
        }
    }
}
