package org.geraniumstand.standins;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.geraniumstand.support.json.Json;

/**
 * Stands in for the platform's key-value service; implements the subset of Consul's HTTP API that the system uses.
 *
 * <p>Source: Consul's HTTP API documentation, "KV Store", "Session" and "Blocking Queries".
 */
public final class StoreStandin implements AutoCloseable {
    private static final String KV_PATH = "/v1/kv/";
    private static final String SESSION_PATH = "/v1/session/";
    private static final String COUNTS_PATH = "/counts";
    private static final int MAX_VALUE_BYTES = 1024 * 1024;
    private static final long DEFAULT_WAIT_MILLIS = 300_000;
    private static final int NOT_FOUND = 404;
    private static final int TOO_LARGE = 413;
    private static final int SERVER_ERROR = 500;
    private static final HttpString INDEX_HEADER = new HttpString("X-Consul-Index");

    private final StoreContent content = new StoreContent();
    private final AtomicLong writes = new AtomicLong();
    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong watches = new AtomicLong();
    private final Switches<StoreSwitch> switches = Switches.of(StoreSwitch.class, this::onSettingChange);
    private final HttpStandin http;

    /**
     * Counts the calls since the start.
     *
     * @param writes number of writes, including session calls
     * @param reads number of non-blocking reads
     * @param watches number of blocking reads
     */
    public record Counts(long writes, long reads, long watches) {}

    private record KvPair(
            @JsonProperty("Key") String key,
            @JsonProperty("Value") String value,
            @JsonProperty("Session") String session,
            @JsonProperty("LockIndex") long lockIndex,
            @JsonProperty("CreateIndex") long createIndex,
            @JsonProperty("ModifyIndex") long modifyIndex) {
        private static KvPair of(StoreContent.Pair pair) {
            StoreContent.Value value = pair.value();
            return new KvPair(
                    pair.key(),
                    Base64.getEncoder().encodeToString(value.text().getBytes(StandardCharsets.UTF_8)),
                    value.session(),
                    value.lockIndex(),
                    value.createIndex(),
                    value.modifyIndex());
        }
    }

    private record SessionId(@JsonProperty("ID") String id) {}

    private StoreStandin(int port) {
        this.http = HttpStandin.start(port, this::handle, switches);
    }

    /**
     * Starts the stand-in.
     *
     * @param port port on loopback, zero for any
     */
    public static StoreStandin start(int port) {
        return new StoreStandin(port);
    }

    /** Returns the port that the stand-in listens on. */
    public int port() {
        return http.port();
    }

    /** Returns the faults of the stand-in. */
    public Switches<StoreSwitch> switches() {
        return switches;
    }

    /** Returns the number of calls since the start. */
    public Counts counts() {
        return new Counts(writes.get(), reads.get(), watches.get());
    }

    /**
     * Returns the value of a key; faults do not apply.
     *
     * @param key the key
     */
    public Optional<String> value(String key) {
        return content.read(key, false).stream()
                .findFirst()
                .map(pair -> pair.value().text());
    }

    /**
     * Writes a key; faults do not apply.
     *
     * @param key the key
     * @param text the value
     */
    public void put(String key, String text) {
        content.put(key, text, Optional.empty());
    }

    @Override
    public void close() {
        http.close();
    }

    private void onSettingChange() {
        content.freezeWatches(switches.isOn(StoreSwitch.STALE_WATCH));
    }

    private void handle(HttpServerExchange exchange) throws IOException, InterruptedException {
        if (exchange.getRequestPath().equals(COUNTS_PATH)) {
            exchange.getResponseSender().send(Json.write(counts()));
            return;
        }
        if (switches.isOn(StoreSwitch.DOWN)) {
            HttpStandin.disconnect(exchange);
            return;
        }
        if (switches.isOn(StoreSwitch.SILENT)) {
            HttpStandin.leaveUnanswered(exchange);
            return;
        }
        switches.delay(StoreSwitch.SLOW_MILLIS);
        if (switches.applies(StoreSwitch.ERROR)) {
            exchange.setStatusCode(SERVER_ERROR);
            return;
        }
        if (exchange.getRequestMethod().equalToString("GET")) {
            handleRead(exchange);
        } else {
            handleWrite(exchange);
        }
    }

    private void handleWrite(HttpServerExchange exchange) throws IOException {
        writes.incrementAndGet();
        byte[] bytes = exchange.getInputStream().readAllBytes();
        if (bytes.length > MAX_VALUE_BYTES) {
            exchange.setStatusCode(TOO_LARGE);
            return;
        }
        Optional<String> response = applyWrite(exchange, new String(bytes, StandardCharsets.UTF_8));
        if (switches.applies(StoreSwitch.LOSE_ANSWERS)) {
            HttpStandin.disconnect(exchange);
        } else if (response.isPresent()) {
            exchange.getResponseSender().send(response.get());
        } else {
            exchange.setStatusCode(NOT_FOUND);
        }
    }

    private Optional<String> applyWrite(HttpServerExchange exchange, String text) throws IOException {
        String path = exchange.getRequestPath();
        if (path.startsWith(SESSION_PATH)) {
            return handleSession(path.substring(SESSION_PATH.length()), text);
        }
        if (!path.startsWith(KV_PATH)) {
            return Optional.empty();
        }
        String key = path.substring(KV_PATH.length());
        Optional<Long> cas =
                Optional.ofNullable(HttpStandin.queryParameter(exchange, "cas")).map(Long::parseLong);
        String acquireSession = HttpStandin.queryParameter(exchange, "acquire");
        String releaseSession = HttpStandin.queryParameter(exchange, "release");
        boolean applied;
        if (exchange.getRequestMethod().equalToString("DELETE")) {
            applied = content.delete(key, HttpStandin.queryParameter(exchange, "recurse") != null, cas);
        } else if (acquireSession != null) {
            applied = content.acquire(key, text, acquireSession);
        } else if (releaseSession != null) {
            applied = content.release(key, text, releaseSession);
        } else {
            applied = content.put(key, text, cas);
        }
        return Optional.of(String.valueOf(applied));
    }

    private Optional<String> handleSession(String action, String text) throws IOException {
        if (action.equals("create")) {
            JsonNode requested = Json.LENIENT.readTree(text.isEmpty() ? "{}" : text);
            long ttlMillis = parseMillis(requested.path("TTL").asText("0s"));
            boolean deleteKeys = requested.path("Behavior").asText("release").equals("delete");
            return Optional.of(Json.write(new SessionId(content.openSession(ttlMillis, deleteKeys))));
        }
        String id = action.substring(action.indexOf('/') + 1);
        if (action.startsWith("destroy/")) {
            content.closeSession(id);
            return Optional.of("true");
        }
        if (switches.applies(StoreSwitch.LAPSE_LEASES)) {
            content.closeSession(id);
        }
        return content.renewSession(id) ? Optional.of(Json.write(List.of(new SessionId(id)))) : Optional.empty();
    }

    private void handleRead(HttpServerExchange exchange) throws InterruptedException {
        String path = exchange.getRequestPath();
        if (path.startsWith(SESSION_PATH + "info/")) {
            reads.incrementAndGet();
            String id = path.substring((SESSION_PATH + "info/").length());
            List<SessionId> sessions = content.isSessionOpen(id) ? List.of(new SessionId(id)) : List.of();
            exchange.getResponseSender().send(Json.write(sessions));
            return;
        }
        if (!path.startsWith(KV_PATH)) {
            exchange.setStatusCode(NOT_FOUND);
            return;
        }
        String key = path.substring(KV_PATH.length());
        boolean keys = HttpStandin.queryParameter(exchange, "keys") != null;
        boolean recurse = keys || HttpStandin.queryParameter(exchange, "recurse") != null;
        StoreContent.Snapshot snapshot = readSnapshot(exchange, key, recurse);
        exchange.getResponseHeaders().put(INDEX_HEADER, snapshot.index());
        if (snapshot.pairs().isEmpty()) {
            exchange.setStatusCode(NOT_FOUND);
        } else if (keys) {
            exchange.getResponseSender()
                    .send(Json.write(snapshot.pairs().stream()
                            .map(StoreContent.Pair::key)
                            .toList()));
        } else if (HttpStandin.queryParameter(exchange, "raw") != null) {
            exchange.getResponseSender().send(snapshot.pairs().get(0).value().text());
        } else {
            exchange.getResponseSender()
                    .send(Json.write(snapshot.pairs().stream().map(KvPair::of).toList()));
        }
    }

    private StoreContent.Snapshot readSnapshot(HttpServerExchange exchange, String key, boolean recurse)
            throws InterruptedException {
        String afterIndex = HttpStandin.queryParameter(exchange, "index");
        if (afterIndex == null || afterIndex.equals("0")) {
            reads.incrementAndGet();
            return content.snapshot(key, recurse);
        }
        watches.incrementAndGet();
        String wait = HttpStandin.queryParameter(exchange, "wait");
        return content.await(
                key, recurse, Long.parseLong(afterIndex), wait == null ? DEFAULT_WAIT_MILLIS : parseMillis(wait));
    }

    private static long parseMillis(String text) {
        if (text.endsWith("ms")) {
            return Long.parseLong(text.substring(0, text.length() - 2));
        }
        return Long.parseLong(text.substring(0, text.length() - 1)) * (text.endsWith("m") ? 60_000 : 1_000);
    }
}
