package org.geraniumstand.standins;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.handlers.BlockingHandler;
import java.net.InetSocketAddress;

/** An HTTP server on loopback that a stand-in answers with. */
public final class HttpStandin implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int WORKER_THREADS = 64;

    private final Undertow server;

    private HttpStandin(int port, HttpHandler handler) {
        this.server = Undertow.builder()
                .addHttpListener(port, LOOPBACK)
                .setIoThreads(1)
                .setWorkerThreads(WORKER_THREADS)
                .setHandler(handler)
                .build();
    }

    /**
     * Starts a server whose handler may block.
     *
     * @param port port on loopback, zero for any
     * @param handler answers requests
     */
    public static HttpStandin start(int port, HttpHandler handler) {
        HttpStandin standin = new HttpStandin(port, new BlockingHandler(handler));
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
}
