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

/** Serves prepared responses on an operators' listener and records the requests. */
final class FakeEntry implements AutoCloseable {
    static final String TOKEN = "a-token-of-operators";

    private static final int NOT_FOUND = 404;
    private static final int UNAUTHORIZED = 401;

    private final Map<String, PreparedResponse> responses = new ConcurrentHashMap<>();
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private final Undertow server = Undertow.builder()
            .addHttpListener(0, "127.0.0.1")
            .setIoThreads(1)
            .setWorkerThreads(1)
            .setHandler(this::handle)
            .build();

    private record PreparedResponse(int status, String text) {}

    static FakeEntry start() {
        FakeEntry entry = new FakeEntry();
        entry.server.start();
        return entry;
    }

    /** Sets the response to a method and path. */
    FakeEntry respond(String methodAndPath, int status, Object document) {
        responses.put(methodAndPath, new PreparedResponse(status, Json.write(document)));
        return this;
    }

    /** Returns the requests received, each as method, path with query, and body. */
    List<String> requests() {
        return List.copyOf(requests);
    }

    int port() {
        return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    }

    @Override
    public void close() {
        server.stop();
    }

    private void handle(HttpServerExchange exchange) {
        exchange.getRequestReceiver().receiveFullBytes((_exchange, bytes) -> respond(exchange, bytes));
    }

    private void respond(HttpServerExchange exchange, byte[] bytes) {
        String query = exchange.getQueryString().isEmpty() ? "" : "?" + exchange.getQueryString();
        String line = exchange.getRequestMethod() + " " + exchange.getRequestPath();
        requests.add((line + query + " " + new String(bytes, StandardCharsets.UTF_8)).trim());
        PreparedResponse prepared = responses.getOrDefault(line, new PreparedResponse(NOT_FOUND, "{}"));
        boolean allowed =
                ("Bearer " + TOKEN).equals(exchange.getRequestHeaders().getFirst("Authorization"));
        exchange.setStatusCode(allowed ? prepared.status() : UNAUTHORIZED);
        exchange.getResponseSender().send(prepared.text());
    }
}
