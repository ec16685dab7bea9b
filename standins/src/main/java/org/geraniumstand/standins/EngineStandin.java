package org.geraniumstand.standins;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.geraniumstand.platform.json.Json;

/** Stands in for a model engine: streams words that depend on the prompt and on what was generated before. */
public final class EngineStandin implements AutoCloseable {
    private static final int DEFAULT_MAX_TOKENS = 256;

    private final int tokenMillis;
    private final HttpStandin http;

    private EngineStandin(int port, int tokenMillis) {
        this.tokenMillis = tokenMillis;
        this.http = HttpStandin.start(port, this::handle);
    }

    /**
     * Starts the stand-in.
     *
     * @param port port on loopback, zero for any
     * @param tokenMillis milliseconds between tokens
     */
    public static EngineStandin start(int port, int tokenMillis) {
        return new EngineStandin(port, tokenMillis);
    }

    /** Returns the port that it listens on. */
    public int port() {
        return http.port();
    }

    @Override
    public void close() {
        http.close();
    }

    private void handle(HttpServerExchange exchange) throws IOException, InterruptedException {
        JsonNode body = Json.LENIENT.readTree(exchange.getInputStream());
        int maxTokens = body.path("max_tokens").asInt(DEFAULT_MAX_TOKENS);
        int made = tokensMade(body);
        echoIdentity(exchange);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
        OutputStream out = exchange.getOutputStream();
        for (int i = 0; i < maxTokens; i++) {
            Thread.sleep(tokenMillis);
            String event = "{\"choices\":[{\"delta\":{\"content\":\"w" + (made + i) + " \"}}]}";
            out.write(("data: " + event + "\n\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
        out.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static int tokensMade(JsonNode body) {
        if (!body.path("continue_final_message").asBoolean(false)) {
            return 0;
        }
        JsonNode messages = body.path("messages");
        String text = messages.path(messages.size() - 1).path("content").asText("");
        return text.isBlank() ? 0 : text.trim().split(" ").length;
    }

    private static void echoIdentity(HttpServerExchange exchange) {
        HttpString name = new HttpString("X-Request-Id");
        String identity = exchange.getRequestHeaders().getFirst(name);
        if (identity != null) {
            exchange.getResponseHeaders().put(name, identity);
        }
    }
}
