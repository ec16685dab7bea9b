package org.geraniumstand.standins;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.support.json.Json;

/** Takes control orders of an engine; docs/INTERFACES-platform.md gives their shape. */
final class EngineControlPath {
    private static final int CONFLICT = 409;
    private static final int TOO_MANY = 429;

    private final Switches<EngineSwitch> switches;
    private final EngineBatch batch;
    private Order order = new Order("", "", "SERVE", List.of(), 0);
    private long highestFence;
    private long readyAtNanos = System.nanoTime();

    private record Order(String service, String version, String role, List<String> adapters, long fence) {}

    private record Status(
            String service,
            String version,
            String role,
            List<String> adapters,
            String state,
            long fence,
            int running,
            int waiting) {}

    EngineControlPath(Switches<EngineSwitch> switches, EngineBatch batch) {
        this.switches = switches;
        this.batch = batch;
    }

    synchronized void describe(String service, String version) {
        order = new Order(service, version, order.role(), order.adapters(), 0);
    }

    void handle(HttpServerExchange exchange) throws IOException {
        if (exchange.getRequestMethod().equalToString("PUT")) {
            int refusal = take(Json.LENIENT.readValue(exchange.getInputStream(), Order.class));
            if (refusal != 0) {
                exchange.setStatusCode(refusal);
                return;
            }
        }
        exchange.getResponseSender().send(Json.write(status()));
    }

    private synchronized int take(Order wanted) {
        if (switches.on(EngineSwitch.FENCING)) {
            if (wanted.fence() < highestFence) {
                return CONFLICT;
            }
            highestFence = wanted.fence();
        }
        if (!wanted.version().equals(order.version())) {
            if (switches.take(EngineSwitch.REFUSE_LOADS)) {
                return TOO_MANY;
            }
            readyAtNanos =
                    System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(switches.number(EngineSwitch.LOADING_MILLIS));
        }
        order = wanted;
        return 0;
    }

    private synchronized Status status() {
        boolean loading = System.nanoTime() - readyAtNanos < 0;
        EngineBatch.Load load = batch.report(0);
        return new Status(
                order.service(),
                order.version(),
                order.role(),
                order.adapters(),
                loading ? "LOADING" : "READY",
                highestFence,
                load.running(),
                load.waiting());
    }
}
