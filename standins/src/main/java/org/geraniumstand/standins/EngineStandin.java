package org.geraniumstand.standins;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.geraniumstand.support.json.Json;

/**
 * Stands in for a model engine.
 *
 * <p>It answers chat completions at any path with text that {@link CompletionText} can recompute, and speaks load, cache
 * events, KV transfer and control orders as docs/INTERFACES-engine.md and docs/INTERFACES-platform.md say.
 */
public final class EngineStandin implements AutoCloseable {
    private static final int SERVER_ERROR = 500;
    private static final int BAD_REQUEST = 400;
    private static final HttpString IDENTITY = new HttpString("X-Request-Id");

    private final Switches<EngineSwitch> switches = Switches.of(EngineSwitch.class, this::onSwitch);
    private final EngineBatch batch = new EngineBatch(switches);
    private final PrefixCache cache = new PrefixCache(switches);
    private final EngineControlPath control = new EngineControlPath(switches, batch);
    private final AtomicReference<Asked> before = new AtomicReference<>();
    private final AtomicLong served = new AtomicLong();
    private final HttpStandin http;

    private record Asked(String identity, CompletionText text) {}

    private EngineStandin(int port, int tokenMillis) {
        switches.set(EngineSwitch.TOKEN_MILLIS, tokenMillis);
        this.http = HttpStandin.start(port, this::handle, switches);
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

    /** Returns its settings and faults. */
    public Switches<EngineSwitch> switches() {
        return switches;
    }

    /** Returns the completions that it was asked for. */
    public long served() {
        return served.get();
    }

    /** Returns the most requests that it ran at once while it was cold. */
    public int mostWhileCold() {
        return batch.mostWhileCold();
    }

    /** Returns the requests that it runs now. */
    public int running() {
        return batch.running();
    }

    /** Tells which service and version it runs. */
    void describe(String service, String version) {
        control.describe(service, version);
    }

    @Override
    public void close() {
        http.close();
    }

    private void onSwitch() {
        if (batch != null) {
            batch.onSwitch();
        }
    }

    private void handle(HttpServerExchange exchange) throws IOException, InterruptedException {
        switch (exchange.getRequestPath()) {
            case "/load" -> exchange.getResponseSender().send(Json.write(batch.report(cache.tokens())));
            case "/cache-events" ->
                exchange.getResponseSender()
                        .send(Json.write(cache.eventsAfter(
                                Long.parseLong(Optional.ofNullable(HttpStandin.parameter(exchange, "after"))
                                        .orElse("0")))));
            case "/kv/export" ->
                exchange.getResponseSender()
                        .send(Json.write(
                                cache.export(CompletionText.of(Json.LENIENT.readTree(exchange.getInputStream())))));
            case "/kv/import" ->
                cache.take(Json.LENIENT.readValue(exchange.getInputStream(), PrefixCache.Exported.class));
            case "/v1/engine" -> control.handle(exchange);
            default -> complete(exchange);
        }
    }

    private void complete(HttpServerExchange exchange) throws IOException, InterruptedException {
        JsonNode body = Json.LENIENT.readTree(exchange.getInputStream());
        long number = served.incrementAndGet();
        if (body.path("max_tokens").asInt(1) < 1) {
            exchange.setStatusCode(BAD_REQUEST);
            return;
        }
        if (fails(exchange, number)) {
            exchange.setStatusCode(SERVER_ERROR);
            return;
        }
        if (switches.take(EngineSwitch.SILENT)) {
            HttpStandin.staySilent(exchange);
            return;
        }
        if (!batch.enter(body.path("priority").asInt(0))) {
            exchange.setStatusCode(SERVER_ERROR);
            return;
        }
        try {
            answer(exchange, body);
        } finally {
            batch.leave();
        }
    }

    private void answer(HttpServerExchange exchange, JsonNode body) throws IOException, InterruptedException {
        String identity = exchange.getRequestHeaders().getFirst(IDENTITY);
        Asked own = new Asked(identity, CompletionText.of(body));
        Asked earlier = before.getAndSet(own);
        Asked told = earlier != null && switches.take(EngineSwitch.CROSS) ? earlier : own;
        if (told.identity() != null && !switches.on(EngineSwitch.NO_IDENTITY)) {
            exchange.getResponseHeaders().put(IDENTITY, told.identity());
        }
        int cached = cache.use(own.text());
        long prefill =
                switches.number(EngineSwitch.PREFILL_MICROS) * (own.text().promptTokens() - cached);
        batch.work(prefill / 1_000);
        switches.pause(EngineSwitch.LATE_MILLIS);
        new EngineAnswer(exchange, batch, switches).send(body, told.text(), cached);
    }

    private boolean fails(HttpServerExchange exchange, long number) {
        long after = switches.number(EngineSwitch.FAIL_AFTER);
        return switches.take(EngineSwitch.FAIL)
                || (after > 0 && number > after)
                || exchange.getRequestPath().equals(switches.text(EngineSwitch.FAIL_PATH));
    }
}
