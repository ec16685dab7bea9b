package org.geraniumstand.standins;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Deque;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.platform.json.Json;

/** Stands in for the platform's key-value service; speaks the part of Consul's HTTP interface that the system uses. */
public final class StoreStandin implements AutoCloseable {
    private static final String KV = "/v1/kv/";
    private static final long DEFAULT_WAIT_MILLIS = 5_000;
    private static final int NOT_FOUND = 404;

    private final Object lock = new Object();
    private final NavigableMap<String, Value> values = new TreeMap<>();
    private final HttpStandin http;
    private long index = 1;

    private record Value(String text, long modifyIndex) {}

    private record KvPair(
            @JsonProperty("Key") String key,
            @JsonProperty("Value") String value,
            @JsonProperty("ModifyIndex") long modifyIndex) {}

    private StoreStandin(int port) {
        this.http = HttpStandin.start(port, this::handle);
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

    @Override
    public void close() {
        http.close();
    }

    private void handle(HttpServerExchange exchange) throws IOException, InterruptedException {
        String path = exchange.getRequestPath();
        if (!path.startsWith(KV)) {
            exchange.setStatusCode(NOT_FOUND);
            return;
        }
        String key = path.substring(KV.length());
        if (exchange.getRequestMethod().equalToString("PUT")) {
            put(exchange, key);
        } else {
            get(exchange, key);
        }
    }

    private void put(HttpServerExchange exchange, String key) throws IOException {
        String text = new String(exchange.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        String cas = parameter(exchange, "cas");
        boolean written;
        synchronized (lock) {
            Value old = values.get(key);
            long current = old == null ? 0 : old.modifyIndex();
            written = cas == null || Long.parseLong(cas) == current;
            if (written) {
                index++;
                values.put(key, new Value(text, index));
                lock.notifyAll();
            }
        }
        exchange.getResponseSender().send(String.valueOf(written));
    }

    private void get(HttpServerExchange exchange, String key) throws InterruptedException {
        boolean recurse = parameter(exchange, "recurse") != null;
        String known = parameter(exchange, "index");
        List<KvPair> pairs;
        long at;
        synchronized (lock) {
            if (known != null) {
                await(key, Long.parseLong(known), waitMillis(exchange));
            }
            pairs = read(key, recurse);
            at = index;
        }
        exchange.getResponseHeaders().put(new HttpString("X-Consul-Index"), at);
        if (pairs.isEmpty()) {
            exchange.setStatusCode(NOT_FOUND);
            return;
        }
        exchange.getResponseSender().send(Json.write(pairs));
    }

    private void await(String key, long known, long millis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        long left = millis;
        while (left > 0 && read(key, true).stream().noneMatch(pair -> pair.modifyIndex() > known)) {
            lock.wait(left);
            left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
        }
    }

    private List<KvPair> read(String key, boolean recurse) {
        return values.tailMap(key, true).entrySet().stream()
                .takeWhile(e -> e.getKey().startsWith(key))
                .filter(e -> recurse || e.getKey().equals(key))
                .map(e -> new KvPair(
                        e.getKey(),
                        Base64.getEncoder().encodeToString(e.getValue().text().getBytes(StandardCharsets.UTF_8)),
                        e.getValue().modifyIndex()))
                .toList();
    }

    private static long waitMillis(HttpServerExchange exchange) {
        String wait = parameter(exchange, "wait");
        return wait == null ? DEFAULT_WAIT_MILLIS : Long.parseLong(wait.replace("ms", ""));
    }

    private static String parameter(HttpServerExchange exchange, String name) {
        Deque<String> found = exchange.getQueryParameters().get(name);
        return found == null ? null : found.peekFirst();
    }
}
