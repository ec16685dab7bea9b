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
 * <p>It runs each POST and lists at {@code GET /ran} what it ran. {@code GET /orders/KEY} looks an order up by its
 * idempotency key. It does not recognise repeated keys, so that an order that is sent twice runs twice.
 */
public final class OrderDeskStandin implements AutoCloseable {
    private static final String RAN = "/ran";
    private static final String LOOKUP = "/orders/";
    private static final int CREATED = 201;
    private static final int NOT_FOUND = 404;
    private static final int SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;
    private static final HttpString IDENTITY = new HttpString("X-Request-Id");
    private static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");
    private static final HttpString OUTCOME = new HttpString("X-Outcome");

    private final List<Order> ran = new CopyOnWriteArrayList<>();
    private final AtomicReference<Answer> before = new AtomicReference<>(new Answer("", ""));
    private final Switches<OrderDeskSwitch> switches = Switches.of(OrderDeskSwitch.class, () -> {});
    private final HttpStandin http;

    /**
     * An order that ran.
     *
     * @param key its idempotency key, or empty
     * @param body its body
     */
    public record Order(String key, String body) {}

    private record Answer(String identity, String text) {}

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

    /** Returns the port that it listens on. */
    public int port() {
        return http.port();
    }

    /** Returns its faults. */
    public Switches<OrderDeskSwitch> switches() {
        return switches;
    }

    /** Returns the orders that it ran, in order. */
    public List<Order> ran() {
        return List.copyOf(ran);
    }

    @Override
    public void close() {
        http.close();
    }

    private void handle(HttpServerExchange exchange) throws IOException, InterruptedException {
        String path = exchange.getRequestPath();
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        if (path.equals(RAN)) {
            exchange.getResponseSender().send(Json.write(ran));
            return;
        }
        String identity = Optional.ofNullable(exchange.getRequestHeaders().getFirst(IDENTITY))
                .orElse("");
        switches.pause(OrderDeskSwitch.SLOW_MILLIS);
        if (stoppedBefore(exchange)) {
            return;
        }
        if (!exchange.getRequestMethod().equalToString("POST")) {
            lookUp(exchange, path, identity);
            return;
        }
        run(exchange, identity);
    }

    private boolean stoppedBefore(HttpServerExchange exchange) {
        if (switches.take(OrderDeskSwitch.CUT_BEFORE)) {
            HttpStandin.cut(exchange);
            return true;
        }
        if (switches.take(OrderDeskSwitch.SILENT_BEFORE)) {
            HttpStandin.staySilent(exchange);
            return true;
        }
        if (switches.take(OrderDeskSwitch.DECLINE)) {
            exchange.setStatusCode(UNAVAILABLE);
            exchange.getResponseHeaders().put(OUTCOME, "not-run");
            return true;
        }
        return false;
    }

    private void run(HttpServerExchange exchange, String identity) throws IOException {
        String key = Optional.ofNullable(exchange.getRequestHeaders().getFirst(IDEMPOTENCY_KEY))
                .orElse("");
        String body = new String(exchange.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        int number;
        synchronized (ran) {
            ran.add(new Order(key, body));
            number = ran.size();
        }
        Answer own = new Answer(identity, Json.write(new Receipt(number, body)));
        Answer earlier = before.getAndSet(own);
        if (switches.take(OrderDeskSwitch.CUT_AFTER)) {
            HttpStandin.cut(exchange);
        } else if (switches.take(OrderDeskSwitch.SILENT_AFTER)) {
            HttpStandin.staySilent(exchange);
        } else if (switches.take(OrderDeskSwitch.ERROR_AFTER)) {
            exchange.setStatusCode(SERVER_ERROR);
        } else {
            exchange.setStatusCode(CREATED);
            boolean crossed = !earlier.identity().isEmpty() && switches.take(OrderDeskSwitch.CROSS);
            send(exchange, crossed ? earlier : own);
        }
    }

    private void lookUp(HttpServerExchange exchange, String path, String identity) {
        String key = path.substring(path.lastIndexOf('/') + 1);
        Optional<Order> found =
                ran.stream().filter(order -> order.key().equals(key)).findFirst();
        if (path.startsWith(LOOKUP) && found.isEmpty()) {
            exchange.setStatusCode(NOT_FOUND);
        }
        String text = found.map(order -> Json.write(new Receipt(ran.indexOf(order) + 1, order.body())))
                .orElse("{}");
        send(exchange, new Answer(identity, text));
    }

    private static void send(HttpServerExchange exchange, Answer answer) {
        if (!answer.identity().isEmpty()) {
            exchange.getResponseHeaders().put(IDENTITY, answer.identity());
        }
        exchange.getResponseSender().send(answer.text());
    }
}
