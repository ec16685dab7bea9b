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

/** An HTTP server on loopback that a stand-in answers with. */
public final class HttpStandin implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final String CONTROL = "/control";
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
     * Starts a server whose handler may block, and whose faults are switched at the path {@code /control}.
     *
     * @param port port on loopback, zero for any
     * @param handler answers requests
     * @param switches the stand-in's switches
     */
    public static HttpStandin start(int port, HttpHandler handler, Switches<?> switches) {
        PathHandler paths =
                new PathHandler(new BlockingHandler(quiet(handler))).addExactPath(CONTROL, switches::control);
        HttpStandin standin = new HttpStandin(port, paths);
        standin.server.start();
        return standin;
    }

    /** Returns the port that it listens on. */
    public int port() {
        InetSocketAddress address =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return address.getPort();
    }

    @Override
    public void close() {
        server.stop();
    }

    private static HttpHandler quiet(HttpHandler handler) {
        return exchange -> {
            try {
                handler.handleRequest(exchange);
            } catch (IOException _e) {
                // The caller left.
                cut(exchange);
            } catch (InterruptedException _e) {
                // The stand-in is being closed.
                cut(exchange);
                Thread.currentThread().interrupt();
            }
        };
    }

    /** Closes the connection of an exchange without an answer. */
    static void cut(HttpServerExchange exchange) {
        IoUtils.safeClose(exchange.getConnection());
    }

    /** Never answers an exchange, and keeps its connection open. */
    static void staySilent(HttpServerExchange exchange) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
    }

    /** Returns a query parameter, or null. */
    static String parameter(HttpServerExchange exchange, String name) {
        Deque<String> found = exchange.getQueryParameters().get(name);
        return found == null ? null : found.peekFirst();
    }
}
