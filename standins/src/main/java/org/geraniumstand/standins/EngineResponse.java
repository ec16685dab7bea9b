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

/** Sends the response to one completion request, as an event stream or as one JSON document. */
final class EngineResponse {
    private static final int DEFAULT_MAX_TOKENS = 256;

    private final HttpServerExchange exchange;
    private final EngineBatch batch;
    private final Switches<EngineSwitch> switches;

    EngineResponse(HttpServerExchange exchange, EngineBatch batch, Switches<EngineSwitch> switches) {
        this.exchange = exchange;
        this.batch = batch;
        this.switches = switches;
    }

    void send(JsonNode body, CompletionText text, int cachedTokens) throws IOException, InterruptedException {
        List<String> tokens = text.nextTokens(body.path("max_tokens").asInt(DEFAULT_MAX_TOKENS));
        if (body.path("stream").asBoolean(false)) {
            sendStream(tokens, text, cachedTokens);
        } else {
            sendDocument(tokens, text, cachedTokens);
        }
    }

    private void sendStream(List<String> tokens, CompletionText text, int cachedTokens)
            throws IOException, InterruptedException {
        boolean stall = switches.applies(EngineSwitch.SILENT_MIDWAY);
        boolean disconnect = switches.applies(EngineSwitch.CUT_MIDWAY);
        int middle = tokens.size() / 2;
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
        OutputStream out = exchange.getOutputStream();
        for (int i = 0; i < tokens.size(); i++) {
            if (i == middle && disconnect) {
                HttpStandin.disconnect(exchange);
                return;
            }
            if (i == middle && stall) {
                HttpStandin.leaveUnanswered(exchange);
                return;
            }
            batch.generateToken();
            writeEvent(out, newChunk(tokens.get(i)).toString());
        }
        ObjectNode lastChunk = newChunk("");
        ((ObjectNode) lastChunk.path("choices").path(0)).put("finish_reason", "length");
        lastChunk.set("usage", usage(tokens.size(), text, cachedTokens));
        writeEvent(out, lastChunk.toString());
        writeEvent(out, "[DONE]");
    }

    private void sendDocument(List<String> tokens, CompletionText text, int cachedTokens) throws InterruptedException {
        for (int i = 0; i < tokens.size(); i++) {
            batch.generateToken();
        }
        if (switches.applies(EngineSwitch.CUT_MIDWAY)) {
            HttpStandin.disconnect(exchange);
            return;
        }
        ObjectNode document = Json.LENIENT.createObjectNode();
        ObjectNode choice = document.putArray("choices").addObject();
        choice.put("index", 0).put("finish_reason", "length");
        choice.putObject("message").put("role", "assistant").put("content", String.join("", tokens));
        document.set("usage", usage(tokens.size(), text, cachedTokens));
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(document.toString());
    }

    private static void writeEvent(OutputStream out, String data) throws IOException {
        out.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static ObjectNode newChunk(String content) {
        ObjectNode chunk = Json.LENIENT.createObjectNode();
        ObjectNode choice = chunk.putArray("choices").addObject();
        choice.put("index", 0);
        ObjectNode delta = choice.putObject("delta");
        if (!content.isEmpty()) {
            delta.put("content", content);
        }
        return chunk;
    }

    private static ObjectNode usage(int tokens, CompletionText text, int cachedTokens) {
        ObjectNode usage = Json.LENIENT.createObjectNode();
        usage.put("prompt_tokens", text.promptTokens()).put("completion_tokens", tokens);
        usage.putObject("prompt_tokens_details").put("cached_tokens", cachedTokens);
        return usage;
    }
}
