package org.geraniumstand.standins;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.geraniumstand.platform.json.Json;

/** Stands in for an order desk: runs each order that it is given and lists what it ran. */
public final class OrderDeskStandin implements AutoCloseable {
    private static final int CREATED = 201;

    private final List<String> ran = new CopyOnWriteArrayList<>();
    private final HttpStandin http;

    private record Ran(int number, String order) {}

    private OrderDeskStandin(int port) {
        this.http = HttpStandin.start(port, this::handle);
    }

    /**
     * Starts the stand-in.
     *
     * @param port port on loopback, zero for any
     */
    public static OrderDeskStandin start(int port) {
        return new OrderDeskStandin(port);
    }

    /** Returns the port that it listens on. */
    public int port() {
        return http.port();
    }

    /** Returns the orders that it ran, in order. */
    public List<String> ran() {
        return List.copyOf(ran);
    }

    @Override
    public void close() {
        http.close();
    }

    private void handle(HttpServerExchange exchange) throws IOException {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        if (exchange.getRequestMethod().equalToString("GET")) {
            exchange.getResponseSender().send(Json.write(ran));
            return;
        }
        String order = new String(exchange.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        ran.add(order);
        exchange.setStatusCode(CREATED);
        exchange.getResponseSender().send(Json.write(new Ran(ran.size(), order)));
    }
}
