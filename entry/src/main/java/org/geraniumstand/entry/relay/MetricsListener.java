package org.geraniumstand.entry.relay;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.net.InetSocketAddress;
import org.geraniumstand.entry.metrics.Exposition;
import org.geraniumstand.entry.metrics.ProcessMetrics;
import org.xnio.XnioWorker;

/** Serves the metrics in text format on a separate address. */
final class MetricsListener implements AutoCloseable {
    private static final String PATH = "/metrics";

    private final ProcessMetrics metrics;
    private final Undertow server;

    private MetricsListener(InetSocketAddress address, XnioWorker worker, ProcessMetrics metrics) {
        this.metrics = metrics;
        this.server = Undertow.builder()
                .setWorker(worker)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .addHttpListener(address.getPort(), address.getHostString(), this::handle)
                .build();
    }

    /**
     * Starts a listener.
     *
     * @param address the address to listen on
     * @param worker the worker whose I/O thread handles the requests
     * @param metrics the metrics to serve
     */
    static MetricsListener start(InetSocketAddress address, XnioWorker worker, ProcessMetrics metrics) {
        MetricsListener listener = new MetricsListener(address, worker, metrics);
        listener.server.start();
        return listener;
    }

    @Override
    public void close() {
        server.stop();
    }

    private void handle(HttpServerExchange exchange) {
        if (!exchange.getRequestPath().equals(PATH)) {
            exchange.setStatusCode(StatusCodes.NOT_FOUND);
            exchange.endExchange();
            return;
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, Exposition.CONTENT_TYPE);
        exchange.getResponseSender().send(metrics.text());
    }
}
