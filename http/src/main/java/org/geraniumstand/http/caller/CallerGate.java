package org.geraniumstand.http.caller;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.HeaderValues;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** Accepts callers' connections within the memory of callers. */
public final class CallerGate implements AutoCloseable {
    private static final Log LOG = Log.of(CallerGate.class);
    private static final int BACKLOG = 1_000;
    private static final int MAX_HEADER_BYTES = 32 * 1024;

    /** Number of the shortest header lines that fit into a head; the memory of callers bounds what they take. */
    private static final int MAX_HEADERS = MAX_HEADER_BYTES / "a:\r\n".length();

    /** Memory of a header's value beside its characters, in bytes, as parsed and as sent to a server. */
    private static final int VALUE_BYTES = 200;

    /** Memory of a request without headers and body, in bytes. */
    private static final int REQUEST_BYTES = 2_048;

    /** Time in which a caller must read a refusal, in milliseconds; a caller within the limits reads it at once. */
    private static final long REFUSAL_READ_MILLIS = 2_000;

    private final MemoryAccount account;
    private final MemoryAccount answers;
    private final StalledCallers stalledCallers;
    private final Map<StreamConnection, GatedConnection> connections = new ConcurrentHashMap<>();
    private final HttpOpenListener http;
    private final AcceptingChannel<StreamConnection> server;

    private CallerGate(
            XnioWorker worker,
            InetSocketAddress address,
            ByteBufferPool buffers,
            OptionMap options,
            HttpHandler handler)
            throws IOException {
        CallerMemory limits = CallerMemory.ofHeap(Runtime.getRuntime().maxMemory());
        this.account = new MemoryAccount(limits);
        this.answers = new MemoryAccount(limits);
        this.stalledCallers = new StalledCallers(worker.getIoThread(0), answers);
        this.http = new HttpOpenListener(
                buffers,
                OptionMap.builder()
                        .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                        .set(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                        .addAll(options)
                        .getMap());
        http.setRootHandler(handler);
        OptionMap socketOptions = OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BALANCING_TOKENS, 1)
                .set(Options.BALANCING_CONNECTIONS, 2)
                .set(Options.BACKLOG, BACKLOG)
                .getMap();
        this.server = worker.createStreamConnectionServer(
                new InetSocketAddress(InetAddress.getByName(address.getHostString()), address.getPort()),
                ChannelListeners.openListenerAdapter((ChannelListener<StreamConnection>) this::onOpened),
                socketOptions);
    }

    /**
     * Listens without accepting connections yet.
     *
     * @param worker provides the I/O threads
     * @param address address to listen on
     * @param buffers pool of the buffers of connections
     * @param options further options of the HTTP server
     * @param handler handles the requests
     */
    public static CallerGate open(
            XnioWorker worker,
            InetSocketAddress address,
            ByteBufferPool buffers,
            OptionMap options,
            HttpHandler handler) {
        try {
            return new CallerGate(worker, address, buffers, options, handler);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen on " + address, e);
        }
    }

    /** Starts to accept connections. */
    public void accept() {
        server.resumeAccepts();
    }

    /** Returns the port on which connections are accepted. */
    public int port() {
        return server.getLocalAddress(InetSocketAddress.class).getPort();
    }

    /** Returns the memory held for all callers and their answers, in bytes. */
    public long heldBytes() {
        return account.totalBytes() + answers.totalBytes();
    }

    /**
     * Charges the head of a request to the memory of callers until its answer is complete.
     *
     * @param exchange the caller's exchange
     * @return what is held for the request, or empty if there is no room for it
     */
    public Optional<MemoryAccount.Holding> onRequest(HttpServerExchange exchange) {
        int keptBytes = gated(exchange).map(gated -> gated.onRequest(exchange)).orElse(0);
        AnswerMemory.open(exchange, answers);
        MemoryAccount.Holding holding = account.open();
        exchange.addExchangeCompleteListener((_exchange, next) -> {
            holding.release();
            next.proceed();
        });
        return holding.grow(headBytes(exchange) + keptBytes) ? Optional.of(holding) : Optional.empty();
    }

    /**
     * Sets what a call keeps from others while its caller takes nothing of the answer, until the exchange is complete.
     *
     * @param exchange the caller's exchange
     * @param waitingCalls returns the number of calls that wait for the place which the call holds at a backend server, or 0 if
     *     it holds none; called on the worker's first I/O thread
     */
    public void onServed(HttpServerExchange exchange, IntSupplier waitingCalls) {
        gated(exchange).ifPresent(gated -> gated.setWaitingCalls(waitingCalls));
    }

    private Optional<GatedConnection> gated(HttpServerExchange exchange) {
        return exchange.getConnection() instanceof HttpServerConnection connection
                ? Optional.ofNullable(connections.get(connection.getChannel()))
                : Optional.empty();
    }

    /**
     * Closes the connection of a refused request if the caller has not read the refusal, or not sent the rest of the
     * request, some seconds later.
     *
     * @param exchange the caller's exchange, whose refusal has been sent
     */
    public static void limitRefusal(HttpServerExchange exchange) {
        if (!exchange.isComplete()) {
            exchange.getIoThread()
                    .executeAfter(
                            () -> {
                                if (!exchange.isComplete()) {
                                    IoUtils.safeClose(exchange.getConnection());
                                }
                            },
                            REFUSAL_READ_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    /** Stops to accept connections; open ones stay. */
    @Override
    public void close() {
        IoUtils.safeClose(server);
    }

    private void onOpened(StreamConnection connection) {
        if (connections.size() >= account.limits().maxConnections() && !closeLongestWaiting()) {
            LOG.info("caller-closed", Field.of("reason", "connections"), Field.of("peer", connection.getPeerAddress()));
            IoUtils.safeClose(connection);
            return;
        }
        GatedConnection gated = new GatedConnection(connection, account, stalledCallers, MAX_HEADER_BYTES);
        connections.put(connection, gated);
        gated.install();
        http.handleEvent(connection);
        // The HTTP server sets a listener of its own when it takes the connection.
        ChannelListener<? super StreamConnection> closed = connection.getCloseListener();
        connection.setCloseListener(channel -> {
            onClosed(gated);
            ChannelListeners.invokeChannelListener(channel, closed);
        });
        if (!connection.isOpen()) {
            onClosed(gated);
        }
    }

    private void onClosed(GatedConnection gated) {
        connections.remove(gated.connection());
        stalledCallers.onClosed(gated);
        gated.onClosed();
    }

    private boolean closeLongestWaiting() {
        GatedConnection longest = null;
        for (GatedConnection gated : connections.values()) {
            if (gated.waitingSinceNanos() != GatedConnection.BUSY
                    && (longest == null || gated.waitingSinceNanos() - longest.waitingSinceNanos() < 0)) {
                longest = gated;
            }
        }
        if (longest == null) {
            return false;
        }
        LOG.info(
                "caller-closed",
                Field.of("reason", "waiting"),
                Field.of("peer", longest.connection().getPeerAddress()));
        IoUtils.safeClose(longest.connection());
        return true;
    }

    private static long headBytes(HttpServerExchange exchange) {
        long bytes = REQUEST_BYTES + 2L * exchange.getRequestURI().length();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            for (String value : values) {
                bytes += VALUE_BYTES + 2L * value.length();
            }
        }
        return bytes;
    }
}
