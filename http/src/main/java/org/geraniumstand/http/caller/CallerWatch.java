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
 * Sees a caller leave while its answer is not whole.
 *
 * <p>The server does not read from a connection while a request is served. This watch reads from it; bytes of a next
 * request are pushed back, and the end of the stream means that the caller has left.
 */
public final class CallerWatch implements ReadReadyHandler {
    private final HttpServerConnection connection;
    private final StreamSourceConduit conduit;
    private final Runnable onLeft;
    private boolean stopped;

    private CallerWatch(HttpServerConnection connection, Runnable onLeft) {
        this.connection = connection;
        this.conduit = connection.getOriginalSourceConduit();
        this.onLeft = onLeft;
    }

    /**
     * Watches until the exchange ends; the request must have been read whole.
     *
     * @param exchange the caller's exchange
     * @param onLeft called once when the caller has left
     */
    public static void start(HttpServerExchange exchange, Runnable onLeft) {
        create(exchange, onLeft);
    }

    /**
     * Watches until the exchange ends; the request must have been read whole.
     *
     * @param exchange the caller's exchange
     * @param onLeft called once when the caller has left
     * @return the watch, or nothing if the caller has sent its next request already
     */
    public static Optional<CallerWatch> create(HttpServerExchange exchange, Runnable onLeft) {
        if (!(exchange.getConnection() instanceof HttpServerConnection connection)
                || connection.getExtraBytes() != null) {
            return Optional.empty();
        }
        CallerWatch watch = new CallerWatch(connection, onLeft);
        exchange.addExchangeCompleteListener((_exchange, next) -> {
            watch.stop();
            next.proceed();
        });
        watch.conduit.setReadReadyHandler(watch);
        watch.conduit.resumeReads();
        return Optional.of(watch);
    }

    /** Looks whether the caller has left; a busy thread may not have been told yet. */
    public void look() {
        readReady();
    }

    @Override
    public void readReady() {
        if (stopped) {
            return;
        }
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        boolean kept = false;
        try {
            int count = conduit.read(pooled.getBuffer());
            if (count < 0) {
                leave();
            } else if (count > 0) {
                stop();
                pooled.getBuffer().flip();
                connection.ungetRequestBytes(pooled);
                kept = true;
            }
        } catch (IOException _e) {
            leave();
        } finally {
            if (!kept) {
                pooled.close();
            }
        }
    }

    @Override
    public void forceTermination() {
        leave();
    }

    @Override
    public void terminated() {
        // A read that meets the end of the stream comes here before it returns.
        leave();
    }

    private void leave() {
        if (!stopped) {
            stop();
            onLeft.run();
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
