package org.geraniumstand.entry.operator;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;

/** Serves operators' requests and the load balancer's health checks over HTTP. */
public final class OperatorListener implements AutoCloseable {
    /** Maximum size of a request body in bytes, equal to the maximum size of a value in the store. */
    public static final int MAX_BODY_BYTES = 1024 * 1024;

    private static final Log LOG = Log.of(OperatorListener.class);
    private static final int READ_TIMEOUT_MILLIS = 30_000;
    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int WRONG_METHOD = 405;
    private static final int TOO_LARGE = 413;
    private static final int FAILED = 500;
    private static final int UNAVAILABLE = 503;
    private static final String TEXT = "text/plain; charset=utf-8";

    private final BearerToken token;
    private final BooleanSupplier ready;
    private final Undertow server;

    private OperatorListener(String host, int port, BearerToken token, BooleanSupplier ready, OperatorApi api) {
        this.token = token;
        this.ready = ready;
        RoutingHandler routes = new RoutingHandler()
                .get("/healthz", exchange -> send(exchange, Reply.text(TEXT, "alive\n")))
                .get("/readyz", this::readiness)
                .setFallbackHandler(authenticated((_request, reply) ->
                        reply.accept(Reply.problem(NOT_FOUND, "not-found", "The path does not exist."))))
                .setInvalidMethodHandler(authenticated((_request, reply) -> reply.accept(
                        Reply.problem(WRONG_METHOD, "wrong-method", "The path does not support this method."))));
        api.endpoints()
                .forEach(binding -> routes.add(binding.method(), binding.path(), authenticated(binding.endpoint())));
        this.server = Undertow.builder()
                .addHttpListener(port, host)
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, READ_TIMEOUT_MILLIS)
                .setHandler(routes)
                .build();
    }

    /**
     * Starts the listener.
     *
     * @param host IP address to listen on
     * @param port port to listen on, or 0 for any free port
     * @param token bearer token that operators must present
     * @param ready returns whether the load balancer may send requests to this process
     * @param api endpoints for operators
     */
    public static OperatorListener start(String host, int port, String token, BooleanSupplier ready, OperatorApi api) {
        OperatorListener listener = new OperatorListener(host, port, new BearerToken(token), ready, api);
        listener.server.start();
        return listener;
    }

    /** Returns the port that the listener is bound to. */
    public int port() {
        InetSocketAddress address =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return address.getPort();
    }

    @Override
    public void close() {
        server.stop();
    }

    private void readiness(HttpServerExchange exchange) {
        boolean isReady = ready.getAsBoolean();
        send(exchange, new Reply(isReady ? 200 : UNAVAILABLE, TEXT, isReady ? "ready\n" : "not ready\n"));
    }

    private HttpHandler authenticated(Endpoint endpoint) {
        return exchange -> {
            if (!token.matches(Optional.ofNullable(exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION)))) {
                LOG.warn(
                        "operator-refused",
                        Field.of("path", exchange.getRequestPath()),
                        Field.of(
                                "peer", exchange.getSourceAddress().getAddress().getHostAddress()));
                send(
                        exchange,
                        Reply.problem(
                                UNAUTHORIZED, "unauthorized", "The operators' bearer token is missing or wrong."));
                return;
            }
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> read(exchange, endpoint));
        };
    }

    private static void read(HttpServerExchange exchange, Endpoint endpoint) {
        exchange.setMaxEntitySize(MAX_BODY_BYTES);
        if (exchange.getRequestContentLength() > MAX_BODY_BYTES) {
            send(exchange, tooLarge());
            return;
        }
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        // A body that arrives late is read in a separate call, which must not end the exchange before
                        // the response is sent.
                        (_exchange, bytes) -> exchange.dispatch(
                                SameThreadExecutor.INSTANCE, () -> handleBody(exchange, endpoint, bytes)),
                        (_exchange, _e) -> send(exchange, tooLarge()));
    }

    private static void handleBody(HttpServerExchange exchange, Endpoint endpoint, byte[] bytes) {
        OperatorRequest request = new OperatorRequest(parameters(exchange), new String(bytes, StandardCharsets.UTF_8));
        try {
            endpoint.handle(request, reply -> exchange.getIoThread().execute(() -> send(exchange, reply)));
        } catch (IllegalArgumentException e) {
            // The model's identifiers throw this for invalid values, such as an empty name.
            send(exchange, Reply.problem(BAD_REQUEST, "bad-request", String.valueOf(e.getMessage())));
        } catch (RuntimeException e) {
            LOG.warn("operator-request-failed", Field.of("path", exchange.getRequestPath()), Field.of("error", e));
            send(
                    exchange,
                    Reply.problem(
                            FAILED,
                            "failed",
                            "The request failed with an internal error; see the log of this process."));
        }
    }

    private static Map<String, String> parameters(HttpServerExchange exchange) {
        Map<String, String> parametersByName = new HashMap<>();
        for (Map.Entry<String, Deque<String>> entry :
                exchange.getQueryParameters().entrySet()) {
            parametersByName.put(entry.getKey(), entry.getValue().getFirst());
        }
        return parametersByName;
    }

    private static Reply tooLarge() {
        return Reply.problem(TOO_LARGE, "body-too-large", "The body is larger than " + MAX_BODY_BYTES + " bytes.");
    }

    private static void send(HttpServerExchange exchange, Reply reply) {
        if (exchange.isResponseStarted()) {
            return;
        }
        exchange.setStatusCode(reply.status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, reply.contentType());
        exchange.getResponseSender().send(reply.text());
    }
}
