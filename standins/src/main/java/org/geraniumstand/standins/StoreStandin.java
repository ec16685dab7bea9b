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
 * Stands in for the platform's key-value service; speaks the part of Consul's HTTP interface that the system uses.
 *
 * <p>Source: Consul's HTTP API documentation, "KV Store", "Session" and "Blocking Queries".
 */
public final class StoreStandin implements AutoCloseable {
    private static final String KV = "/v1/kv/";
    private static final String SESSION = "/v1/session/";
    private static final String COUNTS = "/counts";
    private static final int MAX_VALUE_BYTES = 1024 * 1024;
    private static final long DEFAULT_WAIT_MILLIS = 300_000;
    private static final int NOT_FOUND = 404;
    private static final int TOO_LARGE = 413;
    private static final int SERVER_ERROR = 500;
    private static final HttpString INDEX = new HttpString("X-Consul-Index");

    private final StoreContent content = new StoreContent();
    private final AtomicLong writes = new AtomicLong();
    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong watches = new AtomicLong();
    private final Switches<StoreSwitch> switches = Switches.of(StoreSwitch.class, this::onSwitch);
    private final HttpStandin http;

    /**
     * Calls counted since the start.
     *
     * @param writes writes, session calls included
     * @param reads reads that did not wait
     * @param watches reads that waited
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

    /** Returns the port that it listens on. */
    public int port() {
        return http.port();
    }

    /** Returns its faults. */
    public Switches<StoreSwitch> switches() {
        return switches;
    }

    /** Returns the calls counted. */
    public Counts counts() {
        return new Counts(writes.get(), reads.get(), watches.get());
    }

    /**
     * Returns the value of a key, whatever the faults.
     *
     * @param key the key
     */
    public Optional<String> value(String key) {
        return content.read(key, false).stream()
                .findFirst()
                .map(pair -> pair.value().text());
    }

    /**
     * Writes a key, whatever the faults.
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

    private void onSwitch() {
        content.freezeWatches(switches.on(StoreSwitch.STALE_WATCH));
    }

    private void handle(HttpServerExchange exchange) throws IOException, InterruptedException {
        if (exchange.getRequestPath().equals(COUNTS)) {
            exchange.getResponseSender().send(Json.write(counts()));
            return;
        }
        if (switches.on(StoreSwitch.DOWN)) {
            HttpStandin.cut(exchange);
            return;
        }
        if (switches.on(StoreSwitch.SILENT)) {
            HttpStandin.staySilent(exchange);
            return;
        }
        switches.pause(StoreSwitch.SLOW_MILLIS);
        if (switches.take(StoreSwitch.ERROR)) {
            exchange.setStatusCode(SERVER_ERROR);
            return;
        }
        if (exchange.getRequestMethod().equalToString("GET")) {
            get(exchange);
        } else {
            write(exchange);
        }
    }

    private void write(HttpServerExchange exchange) throws IOException {
        writes.incrementAndGet();
        byte[] bytes = exchange.getInputStream().readAllBytes();
        if (bytes.length > MAX_VALUE_BYTES) {
            exchange.setStatusCode(TOO_LARGE);
            return;
        }
        Optional<String> answer = apply(exchange, new String(bytes, StandardCharsets.UTF_8));
        if (switches.take(StoreSwitch.LOSE_ANSWERS)) {
            HttpStandin.cut(exchange);
        } else if (answer.isPresent()) {
            exchange.getResponseSender().send(answer.get());
        } else {
            exchange.setStatusCode(NOT_FOUND);
        }
    }

    private Optional<String> apply(HttpServerExchange exchange, String text) throws IOException {
        String path = exchange.getRequestPath();
        if (path.startsWith(SESSION)) {
            return session(path.substring(SESSION.length()), text);
        }
        if (!path.startsWith(KV)) {
            return Optional.empty();
        }
        String key = path.substring(KV.length());
        Optional<Long> cas =
                Optional.ofNullable(HttpStandin.parameter(exchange, "cas")).map(Long::parseLong);
        String acquire = HttpStandin.parameter(exchange, "acquire");
        String release = HttpStandin.parameter(exchange, "release");
        boolean done;
        if (exchange.getRequestMethod().equalToString("DELETE")) {
            done = content.delete(key, HttpStandin.parameter(exchange, "recurse") != null, cas);
        } else if (acquire != null) {
            done = content.acquire(key, text, acquire);
        } else if (release != null) {
            done = content.release(key, text, release);
        } else {
            done = content.put(key, text, cas);
        }
        return Optional.of(String.valueOf(done));
    }

    private Optional<String> session(String call, String text) throws IOException {
        if (call.equals("create")) {
            JsonNode wanted = Json.LENIENT.readTree(text.isEmpty() ? "{}" : text);
            long ttl = millis(wanted.path("TTL").asText("0s"));
            boolean delete = wanted.path("Behavior").asText("release").equals("delete");
            return Optional.of(Json.write(new SessionId(content.openSession(ttl, delete))));
        }
        String id = call.substring(call.indexOf('/') + 1);
        if (call.startsWith("destroy/")) {
            content.closeSession(id);
            return Optional.of("true");
        }
        if (switches.take(StoreSwitch.LAPSE_LEASES)) {
            content.closeSession(id);
        }
        return content.renewSession(id) ? Optional.of(Json.write(List.of(new SessionId(id)))) : Optional.empty();
    }

    private void get(HttpServerExchange exchange) throws InterruptedException {
        String path = exchange.getRequestPath();
        if (path.startsWith(SESSION + "info/")) {
            reads.incrementAndGet();
            String id = path.substring((SESSION + "info/").length());
            List<SessionId> found = content.sessionLives(id) ? List.of(new SessionId(id)) : List.of();
            exchange.getResponseSender().send(Json.write(found));
            return;
        }
        if (!path.startsWith(KV)) {
            exchange.setStatusCode(NOT_FOUND);
            return;
        }
        String key = path.substring(KV.length());
        boolean keys = HttpStandin.parameter(exchange, "keys") != null;
        boolean recurse = keys || HttpStandin.parameter(exchange, "recurse") != null;
        StoreContent.Snapshot found = read(exchange, key, recurse);
        exchange.getResponseHeaders().put(INDEX, found.index());
        if (found.pairs().isEmpty()) {
            exchange.setStatusCode(NOT_FOUND);
        } else if (keys) {
            exchange.getResponseSender()
                    .send(Json.write(
                            found.pairs().stream().map(StoreContent.Pair::key).toList()));
        } else if (HttpStandin.parameter(exchange, "raw") != null) {
            exchange.getResponseSender().send(found.pairs().get(0).value().text());
        } else {
            exchange.getResponseSender()
                    .send(Json.write(found.pairs().stream().map(KvPair::of).toList()));
        }
    }

    private StoreContent.Snapshot read(HttpServerExchange exchange, String key, boolean recurse)
            throws InterruptedException {
        String known = HttpStandin.parameter(exchange, "index");
        if (known == null || known.equals("0")) {
            reads.incrementAndGet();
            return content.snapshot(key, recurse);
        }
        watches.incrementAndGet();
        String wait = HttpStandin.parameter(exchange, "wait");
        return content.await(key, recurse, Long.parseLong(known), wait == null ? DEFAULT_WAIT_MILLIS : millis(wait));
    }

    private static long millis(String text) {
        if (text.endsWith("ms")) {
            return Long.parseLong(text.substring(0, text.length() - 2));
        }
        return Long.parseLong(text.substring(0, text.length() - 1)) * (text.endsWith("m") ? 60_000 : 1_000);
    }
}
