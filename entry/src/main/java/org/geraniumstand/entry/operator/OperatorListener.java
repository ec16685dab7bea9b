package org.geraniumstand.entry.operator;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.PathHandler;
import java.util.function.BooleanSupplier;

/** Listens for operators and for the balancer's checks. */
public final class OperatorListener implements AutoCloseable {
    private static final int UNAVAILABLE = 503;

    private final BooleanSupplier ready;
    private final Undertow server;

    private OperatorListener(String host, int port, BooleanSupplier ready) {
        this.ready = ready;
        PathHandler paths = new PathHandler()
                .addExactPath(
                        "/healthz", exchange -> exchange.getResponseSender().send("alive\n"))
                .addExactPath("/readyz", this::readiness);
        this.server = Undertow.builder()
                .addHttpListener(port, host)
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setHandler(paths)
                .build();
    }

    /**
     * Starts to listen.
     *
     * @param host IP number to listen on
     * @param port port to listen on
     * @param ready whether the balancer may send requests
     */
    public static OperatorListener start(String host, int port, BooleanSupplier ready) {
        OperatorListener listener = new OperatorListener(host, port, ready);
        listener.server.start();
        return listener;
    }

    @Override
    public void close() {
        server.stop();
    }

    private void readiness(HttpServerExchange exchange) {
        boolean answer = ready.getAsBoolean();
        if (!answer) {
            exchange.setStatusCode(UNAVAILABLE);
        }
        exchange.getResponseSender().send(answer ? "ready\n" : "not ready\n");
    }
}
