package org.geraniumstand.standins;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.support.json.Json;

/** Handles the control orders of an engine, which docs/INTERFACES-platform.md specifies. */
final class EngineControlHandler {
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;

    private final Switches<EngineSwitch> switches;
    private final EngineBatch batch;
    private ControlOrder order = new ControlOrder("", "", "SERVE", List.of(), 0);
    private long highestFencingToken;
    private long readyAtNanos = System.nanoTime();

    private record ControlOrder(String service, String version, String role, List<String> adapters, long fence) {}

    private record Status(
            String service,
            String version,
            String role,
            List<String> adapters,
            String state,
            long fence,
            int running,
            int waiting) {}

    EngineControlHandler(Switches<EngineSwitch> switches, EngineBatch batch) {
        this.switches = switches;
        this.batch = batch;
    }

    synchronized void setDeployment(String service, String version) {
        order = new ControlOrder(service, version, order.role(), order.adapters(), 0);
    }

    void handle(HttpServerExchange exchange) throws IOException {
        if (exchange.getRequestMethod().equalToString("PUT")) {
            int errorStatus = apply(Json.LENIENT.readValue(exchange.getInputStream(), ControlOrder.class));
            if (errorStatus != 0) {
                exchange.setStatusCode(errorStatus);
                return;
            }
        }
        exchange.getResponseSender().send(Json.write(status()));
    }

    private synchronized int apply(ControlOrder requested) {
        if (switches.isOn(EngineSwitch.FENCING)) {
            if (requested.fence() < highestFencingToken) {
                return CONFLICT;
            }
            highestFencingToken = requested.fence();
        }
        if (!requested.version().equals(order.version())) {
            if (switches.applies(EngineSwitch.REFUSE_LOADS)) {
                return TOO_MANY_REQUESTS;
            }
            readyAtNanos =
                    System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(switches.number(EngineSwitch.LOADING_MILLIS));
        }
        order = requested;
        return 0;
    }

    private synchronized Status status() {
        boolean loading = System.nanoTime() - readyAtNanos < 0;
        EngineBatch.Load load = batch.loadReport(0);
        return new Status(
                order.service(),
                order.version(),
                order.role(),
                order.adapters(),
                loading ? "LOADING" : "READY",
                highestFencingToken,
                load.running(),
                load.waiting());
    }
}
