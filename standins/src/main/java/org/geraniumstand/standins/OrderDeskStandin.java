package org.geraniumstand.standins;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import org.geraniumstand.support.json.Json;

/**
 * Stands in for a plain service such as an order desk.
 *
 * <p>It executes each POST as an order and lists the executed orders at {@code GET /ran}. {@code GET /orders/KEY} looks
 * up an order by its idempotency key. It does not deduplicate by key, so that an order that is sent twice is executed
 * twice.
 */
public final class OrderDeskStandin implements AutoCloseable {
    private static final String RAN_PATH = "/ran";
    private static final String LOOKUP_PATH = "/orders/";
    private static final int CREATED = 201;
    private static final int NOT_FOUND = 404;
    private static final int SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;
    private static final HttpString REQUEST_ID_HEADER = new HttpString("X-Request-Id");
    private static final HttpString IDEMPOTENCY_KEY_HEADER = new HttpString("Idempotency-Key");
    private static final HttpString OUTCOME_HEADER = new HttpString("X-Outcome");

    private final List<Order> executed = new CopyOnWriteArrayList<>();
    private final AtomicReference<Response> previous = new AtomicReference<>(new Response("", ""));
    private final Switches<OrderDeskSwitch> switches = Switches.of(OrderDeskSwitch.class, () -> {});
    private final HttpStandin http;

    /**
     * Records an executed order.
     *
     * @param key idempotency key of the order, or empty
     * @param body body of the order
     */
    public record Order(String key, String body) {}

    private record Response(String requestId, String text) {}

    private record Receipt(int number, String order) {}

    private OrderDeskStandin(int port) {
        this.http = HttpStandin.start(port, this::handle, switches);
    }

    /**
     * Starts the stand-in.
     *
     * @param port port on loopback, zero for any
     */
    public static OrderDeskStandin start(int port) {
        return new OrderDeskStandin(port);
    }

    /** Returns the port that the stand-in listens on. */
    public int port() {
        return http.port();
    }

    /** Returns the faults of the stand-in. */
    public Switches<OrderDeskSwitch> switches() {
        return switches;
    }

    /** Returns the executed orders, in order of execution. */
    public List<Order> executedOrders() {
        return List.copyOf(executed);
    }

    @Override
    public void close() {
        http.close();
    }

    private void handle(HttpServerExchange exchange) throws IOException, InterruptedException {
        String path = exchange.getRequestPath();
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        if (path.equals(RAN_PATH)) {
            exchange.getResponseSender().send(Json.write(executed));
            return;
        }
        String requestId = Optional.ofNullable(exchange.getRequestHeaders().getFirst(REQUEST_ID_HEADER))
                .orElse("");
        switches.delay(OrderDeskSwitch.SLOW_MILLIS);
        if (failBeforeExecution(exchange)) {
            return;
        }
        if (!exchange.getRequestMethod().equalToString("POST")) {
            lookUp(exchange, path, requestId);
            return;
        }
        execute(exchange, requestId);
    }

    private boolean failBeforeExecution(HttpServerExchange exchange) {
        if (switches.applies(OrderDeskSwitch.CUT_BEFORE)) {
            HttpStandin.disconnect(exchange);
            return true;
        }
        if (switches.applies(OrderDeskSwitch.SILENT_BEFORE)) {
            HttpStandin.leaveUnanswered(exchange);
            return true;
        }
        if (switches.applies(OrderDeskSwitch.DECLINE)) {
            exchange.setStatusCode(UNAVAILABLE);
            exchange.getResponseHeaders().put(OUTCOME_HEADER, "not-run");
            return true;
        }
        return false;
    }

    private void execute(HttpServerExchange exchange, String requestId) throws IOException {
        String key = Optional.ofNullable(exchange.getRequestHeaders().getFirst(IDEMPOTENCY_KEY_HEADER))
                .orElse("");
        String body = new String(exchange.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        int number;
        synchronized (executed) {
            executed.add(new Order(key, body));
            number = executed.size();
        }
        Response current = new Response(requestId, Json.write(new Receipt(number, body)));
        Response last = previous.getAndSet(current);
        if (switches.applies(OrderDeskSwitch.CUT_AFTER)) {
            HttpStandin.disconnect(exchange);
        } else if (switches.applies(OrderDeskSwitch.SILENT_AFTER)) {
            HttpStandin.leaveUnanswered(exchange);
        } else if (switches.applies(OrderDeskSwitch.ERROR_AFTER)) {
            exchange.setStatusCode(SERVER_ERROR);
        } else {
            exchange.setStatusCode(CREATED);
            boolean swapped = !last.requestId().isEmpty() && switches.applies(OrderDeskSwitch.CROSS);
            send(exchange, swapped ? last : current);
        }
    }

    private void lookUp(HttpServerExchange exchange, String path, String requestId) {
        String key = path.substring(path.lastIndexOf('/') + 1);
        Optional<Order> match =
                executed.stream().filter(order -> order.key().equals(key)).findFirst();
        if (path.startsWith(LOOKUP_PATH) && match.isEmpty()) {
            exchange.setStatusCode(NOT_FOUND);
        }
        String text = match.map(order -> Json.write(new Receipt(executed.indexOf(order) + 1, order.body())))
                .orElse("{}");
        send(exchange, new Response(requestId, text));
    }

    private static void send(HttpServerExchange exchange, Response response) {
        if (!response.requestId().isEmpty()) {
            exchange.getResponseHeaders().put(REQUEST_ID_HEADER, response.requestId());
        }
        exchange.getResponseSender().send(response.text());
    }
}
