package org.geraniumstand.http.caller;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.util.Optional;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that a caller disconnects before its answer is complete.
 *
 * <p>The HTTP server does not read from a connection while it serves a request. This class does; it pushes bytes of the
 * next request back and takes the end of the stream as a disconnect.
 */
public final class CallerWatch implements ReadReadyHandler {
    private final HttpServerConnection connection;
    private final StreamSourceConduit conduit;
    private final Runnable onDisconnected;
    private boolean stopped;

    private CallerWatch(HttpServerConnection connection, Runnable onDisconnected) {
        this.connection = connection;
        this.conduit = connection.getOriginalSourceConduit();
        this.onDisconnected = onDisconnected;
    }

    /**
     * Watches the connection until the exchange ends; the whole request must have been read.
     *
     * @param exchange the caller's exchange
     * @param onDisconnected called once when the caller has disconnected
     */
    public static void start(HttpServerExchange exchange, Runnable onDisconnected) {
        create(exchange, onDisconnected);
    }

    /**
     * Watches the connection until the exchange ends; the whole request must have been read.
     *
     * @param exchange the caller's exchange
     * @param onDisconnected called once when the caller has disconnected
     * @return the watch, or empty if the caller has already sent its next request
     */
    public static Optional<CallerWatch> create(HttpServerExchange exchange, Runnable onDisconnected) {
        if (!(exchange.getConnection() instanceof HttpServerConnection connection)
                || connection.getExtraBytes() != null) {
            return Optional.empty();
        }
        CallerWatch watch = new CallerWatch(connection, onDisconnected);
        exchange.addExchangeCompleteListener((_exchange, next) -> {
            watch.stop();
            next.proceed();
        });
        watch.conduit.setReadReadyHandler(watch);
        watch.conduit.resumeReads();
        return Optional.of(watch);
    }

    /** Checks for a disconnect at once, because a busy thread may not have processed the event yet. */
    public void checkNow() {
        readReady();
    }

    @Override
    public void readReady() {
        if (stopped) {
            return;
        }
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        boolean pushedBack = false;
        try {
            int count = conduit.read(pooled.getBuffer());
            if (count < 0) {
                disconnect();
            } else if (count > 0) {
                stop();
                pooled.getBuffer().flip();
                connection.ungetRequestBytes(pooled);
                pushedBack = true;
            }
        } catch (IOException _e) {
            disconnect();
        } finally {
            if (!pushedBack) {
                pooled.close();
            }
        }
    }

    @Override
    public void forceTermination() {
        disconnect();
    }

    @Override
    public void terminated() {
        // A read that reaches the end of the stream calls this method before it returns.
        disconnect();
    }

    private void disconnect() {
        if (!stopped) {
            stop();
            onDisconnected.run();
            IoUtils.safeClose(connection);
        }
    }

    private void stop() {
        if (stopped) {
            return;
        }
        stopped = true;
        conduit.suspendReads();
        ConduitStreamSourceChannel channel = connection.getChannel().getSourceChannel();
        conduit.setReadReadyHandler(new ReadReadyHandler.ChannelListenerHandler<>(channel));
    }
}
