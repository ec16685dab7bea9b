package org.geraniumstand.standins;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.server.handlers.PathHandler;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Deque;
import org.xnio.IoUtils;

/** Runs the HTTP server of a stand-in on loopback. */
public final class HttpStandin implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final String CONTROL_PATH = "/control";
    private static final int WORKER_THREADS = 256;
    private static final int BUFFER_BYTES = 4 * 1024;

    private final Undertow server;

    private HttpStandin(int port, HttpHandler handler) {
        this.server = Undertow.builder()
                .addHttpListener(port, LOOPBACK)
                .setIoThreads(1)
                .setBufferSize(BUFFER_BYTES)
                .setDirectBuffers(false)
                .setWorkerThreads(WORKER_THREADS)
                .setServerOption(UndertowOptions.SHUTDOWN_TIMEOUT, 0)
                .setHandler(handler)
                .build();
    }

    /**
     * Starts a server whose handler may block and whose switches are set at the path {@code /control}.
     *
     * @param port port on loopback, zero for any
     * @param handler handles the requests
     * @param switches the settings and faults of the stand-in
     */
    public static HttpStandin start(int port, HttpHandler handler, Switches<?> switches) {
        PathHandler paths = new PathHandler(new BlockingHandler(disconnectOnFailure(handler)))
                .addExactPath(CONTROL_PATH, switches::handleControl);
        HttpStandin standin = new HttpStandin(port, paths);
        standin.server.start();
        return standin;
    }

    /** Returns the port that the server listens on. */
    public int port() {
        InetSocketAddress address =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return address.getPort();
    }

    @Override
    public void close() {
        server.stop();
    }

    private static HttpHandler disconnectOnFailure(HttpHandler handler) {
        return exchange -> {
            try {
                handler.handleRequest(exchange);
            } catch (IOException _e) {
                // The client closed the connection.
                disconnect(exchange);
            } catch (InterruptedException _e) {
                // The stand-in is being closed.
                disconnect(exchange);
                Thread.currentThread().interrupt();
            }
        };
    }

    /** Closes the connection of an exchange without completing the response. */
    static void disconnect(HttpServerExchange exchange) {
        IoUtils.safeClose(exchange.getConnection());
    }

    /** Leaves an exchange without a response and keeps its connection open. */
    static void leaveUnanswered(HttpServerExchange exchange) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
    }

    /** Returns the first value of a query parameter, or null if it is missing. */
    static String queryParameter(HttpServerExchange exchange, String name) {
        Deque<String> parameterValues = exchange.getQueryParameters().get(name);
        return parameterValues == null ? null : parameterValues.peekFirst();
    }
}
