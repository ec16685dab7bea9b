package org.geraniumstand.entry.relay;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.platform.RehearsalPlatform;

/** Serves the responses of a {@link RehearsalPlatform} over HTTP on a loopback address. */
public final class RehearsalServer implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";

    private final RehearsalPlatform platform;
    private final Undertow server;

    private RehearsalServer(InetSocketAddress address) {
        this.platform = new RehearsalPlatform(address);
        this.server = Undertow.builder()
                .setIoThreads(1)
                .setWorkerThreads(1)
                .addHttpListener(address.getPort(), address.getHostString(), this::handle)
                .build();
    }

    /**
     * Starts a server.
     *
     * @param address the loopback address to listen on
     */
    public static RehearsalServer start(InetSocketAddress address) {
        RehearsalServer rehearsalServer = new RehearsalServer(address);
        rehearsalServer.server.start();
        return rehearsalServer;
    }

    /** Returns a loopback address with an unused port. */
    public static InetSocketAddress freeAddress() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return InetSocketAddress.createUnresolved(LOOPBACK, socket.getLocalPort());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot find an unused port on the loopback interface", e);
        }
    }

    @Override
    public void close() {
        server.stop();
    }

    private void handle(HttpServerExchange exchange) {
        Map<String, String> query = new HashMap<>();
        exchange.getQueryParameters().forEach((name, values) -> query.put(name, values.getFirst()));
        RehearsalPlatform.Response response = platform.respond(
                exchange.getRequestPath(),
                query,
                name -> exchange.getRequestHeaders().getFirst(name));
        exchange.setStatusCode(response.status());
        response.headers()
                .forEach(h -> exchange.getResponseHeaders().put(HttpString.tryFromString(h.name()), h.value()));
        if (response.streamed()) {
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
        }
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> exchange.getIoThread()
                        .executeAfter(
                                () -> exchange.getResponseSender().send(response.body()),
                                response.delayMillis(),
                                TimeUnit.MILLISECONDS));
    }
}
