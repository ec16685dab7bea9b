package org.geraniumstand.operator;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.geraniumstand.support.json.Json;

/** An operators' listener that gives prepared answers and remembers what it was asked. */
final class FakeEntry implements AutoCloseable {
    static final String TOKEN = "a-token-of-operators";

    private static final int NOT_FOUND = 404;
    private static final int UNAUTHORIZED = 401;

    private final Map<String, Prepared> answers = new ConcurrentHashMap<>();
    private final List<String> asked = new CopyOnWriteArrayList<>();
    private final Undertow server = Undertow.builder()
            .addHttpListener(0, "127.0.0.1")
            .setIoThreads(1)
            .setWorkerThreads(1)
            .setHandler(this::handle)
            .build();

    private record Prepared(int status, String text) {}

    static FakeEntry start() {
        FakeEntry entry = new FakeEntry();
        entry.server.start();
        return entry;
    }

    /** Prepares the answer to a method and path. */
    FakeEntry answer(String methodAndPath, int status, Object document) {
        answers.put(methodAndPath, new Prepared(status, Json.write(document)));
        return this;
    }

    /** Returns what was asked: method, path with query, and body. */
    List<String> asked() {
        return List.copyOf(asked);
    }

    int port() {
        return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    }

    @Override
    public void close() {
        server.stop();
    }

    private void handle(HttpServerExchange exchange) {
        exchange.getRequestReceiver().receiveFullBytes((_exchange, bytes) -> answer(exchange, bytes));
    }

    private void answer(HttpServerExchange exchange, byte[] bytes) {
        String query = exchange.getQueryString().isEmpty() ? "" : "?" + exchange.getQueryString();
        String line = exchange.getRequestMethod() + " " + exchange.getRequestPath();
        asked.add((line + query + " " + new String(bytes, StandardCharsets.UTF_8)).trim());
        Prepared prepared = answers.getOrDefault(line, new Prepared(NOT_FOUND, "{}"));
        boolean allowed =
                ("Bearer " + TOKEN).equals(exchange.getRequestHeaders().getFirst("Authorization"));
        exchange.setStatusCode(allowed ? prepared.status() : UNAUTHORIZED);
        exchange.getResponseSender().send(prepared.text());
    }
}
