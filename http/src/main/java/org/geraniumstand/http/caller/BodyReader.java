package org.geraniumstand.http.caller;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.geraniumstand.http.filter.Rejection;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.support.net.HttpBody;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the body of a request within a size limit and a timeout, and reports the result exactly once.
 *
 * <p>The HTTP server's own limit closes the connection when a chunked body grows too large, before the caller receives
 * a refusal. Therefore this class counts the bytes, and the server's limit only bounds what is still read after a
 * refusal.
 */
public final class BodyReader {
    private static final long MAX_READ_AFTER_REFUSAL_BYTES = 1024 * 1024;

    /** Number of reads after which other connections come first; each returns one chunk of the body at most. */
    private static final int READS_PER_TURN = 64;

    /** Retry delay of a request for which there is no memory, in milliseconds; other processes may take it at once. */
    private static final long RETRY_AFTER_MILLIS = 200;

    private final HttpServerExchange exchange;
    private final long maxBytes;
    private final MemoryAccount.Holding holding;
    private final Consumer<Result<HttpBody, Rejection>> callback;
    private final BodyBuffer body;
    private StreamSourceChannel channel;
    private XnioExecutor.Key timer;
    private boolean done;

    /**
     * Creates a reader.
     *
     * @param exchange the caller's exchange
     * @param maxBytes maximum size of the body in bytes
     * @param holding what is held for the request; the body is added to it
     * @param callback called once with the body or with the rejection
     */
    public BodyReader(
            HttpServerExchange exchange,
            long maxBytes,
            MemoryAccount.Holding holding,
            Consumer<Result<HttpBody, Rejection>> callback) {
        this.exchange = exchange;
        this.maxBytes = maxBytes;
        this.holding = holding;
        this.body = new BodyBuffer(exchange.getRequestContentLength());
        this.callback = callback;
    }

    /**
     * Starts reading.
     *
     * @param timeoutMillis time within which the whole body must arrive, in milliseconds
     */
    public void start(long timeoutMillis) {
        if (exchange.getRequestContentLength() > maxBytes) {
            finish(tooLarge());
            return;
        }
        exchange.setMaxEntitySize(maxBytes + MAX_READ_AFTER_REFUSAL_BYTES);
        timer = exchange.getIoThread()
                .executeAfter(
                        () -> finish(
                                Result.err(Rejection.of(RefusalReason.SLOW_SENDER, "the body did not arrive in time"))),
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
        channel = exchange.getRequestChannel();
        channel.getReadSetter().set(_channel -> readTurn());
        channel.wakeupReads();
    }

    // The library queues a task of its own for each chunk that it reads, so a turn without end would exhaust the heap.
    private void readTurn() {
        if (done) {
            return;
        }
        try (PooledByteBuffer pooled =
                exchange.getConnection().getByteBufferPool().allocate()) {
            for (int i = 0; i < READS_PER_TURN && !done; i++) {
                ByteBuffer part = pooled.getBuffer();
                part.clear();
                int count = channel.read(part);
                if (count < 0) {
                    finish(Result.ok(body.toBody()));
                } else if (count == 0) {
                    channel.resumeReads();
                    return;
                } else {
                    onPart(part.flip());
                }
            }
        } catch (IOException _e) {
            finish(Result.err(Rejection.malformed("the body cannot be read")));
        }
        if (!done) {
            channel.suspendReads();
            exchange.getIoThread().execute(this::readTurn);
        }
    }

    private void onPart(ByteBuffer part) {
        if (body.size() + part.remaining() > maxBytes) {
            finish(tooLarge());
        } else if (!body.add(part, holding::grow)) {
            finish(Result.err(noMemory()));
        }
    }

    /** Returns the rejection of a request that finds no room in the memory of callers. */
    public static Rejection noMemory() {
        return new Rejection(
                Refusal.notRun(RefusalReason.OVERLOADED, RETRY_AFTER_MILLIS), "too much is held for other requests");
    }

    private Result<HttpBody, Rejection> tooLarge() {
        return Result.err(Rejection.of(RefusalReason.BODY_TOO_LARGE, "the body is larger than " + maxBytes + " bytes"));
    }

    private void finish(Result<HttpBody, Rejection> result) {
        if (done) {
            return;
        }
        done = true;
        if (channel != null) {
            // Before the callback, which may watch the connection for the caller's disconnect.
            channel.suspendReads();
        }
        // The connection keeps this reader for as long as the rest of a refused body is discarded.
        body.clear();
        if (timer != null) {
            timer.remove();
        }
        // Dispatched, because the HTTP server would end the exchange by itself once the call that delivers a late body
        // returns.
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> callback.accept(result));
    }
}
