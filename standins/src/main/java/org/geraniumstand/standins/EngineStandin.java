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
 * <p>It responds to chat completions at any path with text that {@link CompletionText} can recompute. It serves load
 * reports, cache events, KV transfer and control orders as docs/INTERFACES-engine.md and docs/INTERFACES-platform.md
 * specify.
 */
public final class EngineStandin implements AutoCloseable {
    private static final int SERVER_ERROR = 500;
    private static final int BAD_REQUEST = 400;
    private static final HttpString REQUEST_ID_HEADER = new HttpString("X-Request-Id");

    private final Switches<EngineSwitch> switches = Switches.of(EngineSwitch.class, this::onSettingChange);
    private final EngineBatch batch = new EngineBatch(switches);
    private final PrefixCache cache = new PrefixCache(switches);
    private final EngineControlHandler control = new EngineControlHandler(switches, batch);
    private final AtomicReference<Completion> previous = new AtomicReference<>();
    private final AtomicLong receivedCompletions = new AtomicLong();
    private final HttpStandin http;

    private record Completion(String requestId, CompletionText text) {}

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

    /** Returns the port that the stand-in listens on. */
    public int port() {
        return http.port();
    }

    /** Returns the settings and faults of the stand-in. */
    public Switches<EngineSwitch> switches() {
        return switches;
    }

    /** Returns the number of completion requests received. */
    public long receivedCompletions() {
        return receivedCompletions.get();
    }

    /** Returns the highest number of concurrent requests while the engine was cold. */
    public int maxRunningWhileCold() {
        return batch.maxRunningWhileCold();
    }

    /** Returns the number of running requests. */
    public int running() {
        return batch.running();
    }

    /** Sets the service and version that the engine reports. */
    void setDeployment(String service, String version) {
        control.setDeployment(service, version);
    }

    @Override
    public void close() {
        http.close();
    }

    private void onSettingChange() {
        if (batch != null) {
            batch.onSettingChange();
        }
    }

    private void handle(HttpServerExchange exchange) throws IOException, InterruptedException {
        switch (exchange.getRequestPath()) {
            case "/load" -> exchange.getResponseSender().send(Json.write(batch.loadReport(cache.cachedTokens())));
            case "/cache-events" ->
                exchange.getResponseSender()
                        .send(Json.write(cache.eventsAfter(
                                Long.parseLong(Optional.ofNullable(HttpStandin.queryParameter(exchange, "after"))
                                        .orElse("0")))));
            case "/kv/export" ->
                exchange.getResponseSender()
                        .send(Json.write(cache.exportBlocks(
                                CompletionText.of(Json.LENIENT.readTree(exchange.getInputStream())))));
            case "/kv/import" ->
                cache.importBlocks(Json.LENIENT.readValue(exchange.getInputStream(), PrefixCache.ExportedBlocks.class));
            case "/v1/engine" -> control.handle(exchange);
            default -> handleCompletion(exchange);
        }
    }

    private void handleCompletion(HttpServerExchange exchange) throws IOException, InterruptedException {
        JsonNode body = Json.LENIENT.readTree(exchange.getInputStream());
        long requestNumber = receivedCompletions.incrementAndGet();
        if (body.path("max_tokens").asInt(1) < 1) {
            exchange.setStatusCode(BAD_REQUEST);
            return;
        }
        if (shouldFail(exchange, requestNumber)) {
            exchange.setStatusCode(SERVER_ERROR);
            return;
        }
        if (switches.applies(EngineSwitch.SILENT)) {
            HttpStandin.leaveUnanswered(exchange);
            return;
        }
        if (!batch.acquireSlot(body.path("priority").asInt(0))) {
            exchange.setStatusCode(SERVER_ERROR);
            return;
        }
        try {
            respond(exchange, body);
        } finally {
            batch.releaseSlot();
        }
    }

    private void respond(HttpServerExchange exchange, JsonNode body) throws IOException, InterruptedException {
        String requestId = exchange.getRequestHeaders().getFirst(REQUEST_ID_HEADER);
        Completion current = new Completion(requestId, CompletionText.of(body));
        Completion last = previous.getAndSet(current);
        Completion responseSource = last != null && switches.applies(EngineSwitch.CROSS) ? last : current;
        if (responseSource.requestId() != null && !switches.isOn(EngineSwitch.NO_IDENTITY)) {
            exchange.getResponseHeaders().put(REQUEST_ID_HEADER, responseSource.requestId());
        }
        int cachedTokens = cache.lookUpAndStore(current.text());
        long prefillMicros =
                switches.number(EngineSwitch.PREFILL_MICROS) * (current.text().promptTokens() - cachedTokens);
        batch.simulateWork(prefillMicros / 1_000);
        switches.delay(EngineSwitch.LATE_MILLIS);
        new EngineResponse(exchange, batch, switches).send(body, responseSource.text(), cachedTokens);
    }

    private boolean shouldFail(HttpServerExchange exchange, long requestNumber) {
        long failAfter = switches.number(EngineSwitch.FAIL_AFTER);
        return switches.applies(EngineSwitch.FAIL)
                || (failAfter > 0 && requestNumber > failAfter)
                || exchange.getRequestPath().equals(switches.text(EngineSwitch.FAIL_PATH));
    }
}
