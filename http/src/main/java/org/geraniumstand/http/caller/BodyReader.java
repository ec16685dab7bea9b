package org.geraniumstand.http.caller;

import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.geraniumstand.http.filter.Rejection;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.support.net.HttpBody;
import org.xnio.XnioExecutor;

/**
 * Reads the body of a request within a size limit and a timeout, and reports the result exactly once.
 *
 * <p>The HTTP server's own limit closes the connection when a chunked body grows too large, before the caller receives
 * a refusal. Therefore this class counts the bytes, and the server's limit only bounds what is still read after a
 * refusal.
 */
public final class BodyReader {
    private static final long MAX_READ_AFTER_REFUSAL_BYTES = 1024 * 1024;

    private final HttpServerExchange exchange;
    private final long maxBytes;
    private final Consumer<Result<HttpBody, Rejection>> callback;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private XnioExecutor.Key timer;
    private boolean done;

    /**
     * Creates a reader.
     *
     * @param exchange the caller's exchange
     * @param maxBytes maximum size of the body in bytes
     * @param callback called once with the body or with the rejection
     */
    public BodyReader(HttpServerExchange exchange, long maxBytes, Consumer<Result<HttpBody, Rejection>> callback) {
        this.exchange = exchange;
        this.maxBytes = maxBytes;
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
        Receiver receiver = exchange.getRequestReceiver();
        receiver.receivePartialBytes(
                (_exchange, part, last) -> onPart(receiver, part, last),
                (_exchange, _e) -> finish(Result.err(Rejection.malformed("the body cannot be read"))));
    }

    private void onPart(Receiver receiver, byte[] part, boolean last) {
        if (done) {
            return;
        }
        if (body.size() + part.length > maxBytes) {
            receiver.pause();
            finish(tooLarge());
            return;
        }
        body.write(part, 0, part.length);
        if (last) {
            finish(Result.ok(HttpBody.of(body.toByteArray())));
        }
    }

    private Result<HttpBody, Rejection> tooLarge() {
        return Result.err(Rejection.of(RefusalReason.BODY_TOO_LARGE, "the body is larger than " + maxBytes + " bytes"));
    }

    private void finish(Result<HttpBody, Rejection> result) {
        if (done) {
            return;
        }
        done = true;
        if (timer != null) {
            timer.remove();
        }
        // Dispatched, because the HTTP server would end the exchange by itself once the call that delivers a late body
        // returns.
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> callback.accept(result));
    }
}
