package org.geraniumstand.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.geraniumstand.support.json.Json;

/** Sends one completion, as a stream or whole. */
final class EngineAnswer {
    private static final int DEFAULT_MAX_TOKENS = 256;

    private final HttpServerExchange exchange;
    private final EngineBatch batch;
    private final Switches<EngineSwitch> switches;

    EngineAnswer(HttpServerExchange exchange, EngineBatch batch, Switches<EngineSwitch> switches) {
        this.exchange = exchange;
        this.batch = batch;
        this.switches = switches;
    }

    void send(JsonNode body, CompletionText text, int cached) throws IOException, InterruptedException {
        List<String> tokens = text.next(body.path("max_tokens").asInt(DEFAULT_MAX_TOKENS));
        if (body.path("stream").asBoolean(false)) {
            stream(tokens, text, cached);
        } else {
            whole(tokens, text, cached);
        }
    }

    private void stream(List<String> tokens, CompletionText text, int cached) throws IOException, InterruptedException {
        boolean silent = switches.take(EngineSwitch.SILENT_MIDWAY);
        boolean cut = switches.take(EngineSwitch.CUT_MIDWAY);
        int middle = tokens.size() / 2;
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
        OutputStream out = exchange.getOutputStream();
        for (int i = 0; i < tokens.size(); i++) {
            if (i == middle && cut) {
                HttpStandin.cut(exchange);
                return;
            }
            if (i == middle && silent) {
                HttpStandin.staySilent(exchange);
                return;
            }
            batch.workToken();
            write(out, chunk(tokens.get(i)).toString());
        }
        ObjectNode end = chunk("");
        ((ObjectNode) end.path("choices").path(0)).put("finish_reason", "length");
        end.set("usage", usage(tokens.size(), text, cached));
        write(out, end.toString());
        write(out, "[DONE]");
    }

    private void whole(List<String> tokens, CompletionText text, int cached) throws InterruptedException {
        for (int i = 0; i < tokens.size(); i++) {
            batch.workToken();
        }
        if (switches.take(EngineSwitch.CUT_MIDWAY)) {
            HttpStandin.cut(exchange);
            return;
        }
        ObjectNode answer = Json.LENIENT.createObjectNode();
        ObjectNode choice = answer.putArray("choices").addObject();
        choice.put("index", 0).put("finish_reason", "length");
        choice.putObject("message").put("role", "assistant").put("content", String.join("", tokens));
        answer.set("usage", usage(tokens.size(), text, cached));
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(answer.toString());
    }

    private static void write(OutputStream out, String data) throws IOException {
        out.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static ObjectNode chunk(String content) {
        ObjectNode chunk = Json.LENIENT.createObjectNode();
        ObjectNode choice = chunk.putArray("choices").addObject();
        choice.put("index", 0);
        ObjectNode delta = choice.putObject("delta");
        if (!content.isEmpty()) {
            delta.put("content", content);
        }
        return chunk;
    }

    private static ObjectNode usage(int tokens, CompletionText text, int cached) {
        ObjectNode usage = Json.LENIENT.createObjectNode();
        usage.put("prompt_tokens", text.promptTokens()).put("completion_tokens", tokens);
        usage.putObject("prompt_tokens_details").put("cached_tokens", cached);
        return usage;
    }
}
