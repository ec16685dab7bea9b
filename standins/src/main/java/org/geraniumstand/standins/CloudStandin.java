package org.geraniumstand.standins;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicReference;

/** Stands in for the platform's host list; what is put there is what it lists. */
public final class CloudStandin implements AutoCloseable {
    private final AtomicReference<String> listing = new AtomicReference<>("{\"servers\":[],\"notices\":[]}");
    private final HttpStandin http;

    private CloudStandin(int port) {
        this.http = HttpStandin.start(port, this::handle);
    }

    /**
     * Starts the stand-in.
     *
     * @param port port on loopback, zero for any
     */
    public static CloudStandin start(int port) {
        return new CloudStandin(port);
    }

    /** Returns the port that it listens on. */
    public int port() {
        return http.port();
    }

    @Override
    public void close() {
        http.close();
    }

    private void handle(HttpServerExchange exchange) throws IOException {
        if (exchange.getRequestMethod().equalToString("PUT")) {
            listing.set(new String(exchange.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
        }
        exchange.getResponseSender().send(listing.get());
    }
}
