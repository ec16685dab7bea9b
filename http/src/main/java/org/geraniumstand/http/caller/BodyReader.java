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
 * Reads the body of a request, bounded in bytes and time; tells its end once.
 *
 * <p>The server's own limit cuts the connection when a chunked body grows too large, before the caller can be told why.
 * So the bytes are counted here, and that limit only bounds what is still read after a refusal.
 */
public final class BodyReader {
    private static final long READ_AFTER_REFUSAL_BYTES = 1024 * 1024;

    private final HttpServerExchange exchange;
    private final long limit;
    private final Consumer<Result<HttpBody, Rejection>> callback;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private XnioExecutor.Key timer;
    private boolean done;

    /**
     * Creates a reader.
     *
     * @param exchange the caller's exchange
     * @param limit largest body that is accepted, in bytes
     * @param callback told the body or why there is none
     */
    public BodyReader(HttpServerExchange exchange, long limit, Consumer<Result<HttpBody, Rejection>> callback) {
        this.exchange = exchange;
        this.limit = limit;
        this.callback = callback;
    }

    /**
     * Starts to read.
     *
     * @param timeoutMillis time in which the body must have arrived, in milliseconds
     */
    public void start(long timeoutMillis) {
        if (exchange.getRequestContentLength() > limit) {
            finish(tooLarge());
            return;
        }
        exchange.setMaxEntitySize(limit + READ_AFTER_REFUSAL_BYTES);
        timer = exchange.getIoThread()
                .executeAfter(
                        () -> finish(
                                Result.err(Rejection.of(RefusalReason.SLOW_SENDER, "the body did not arrive in time"))),
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
        Receiver receiver = exchange.getRequestReceiver();
        receiver.receivePartialBytes(
                (_exchange, part, last) -> take(receiver, part, last),
                (_exchange, _e) -> finish(Result.err(Rejection.malformed("the body cannot be read"))));
    }

    private void take(Receiver receiver, byte[] part, boolean last) {
        if (done) {
            return;
        }
        if (body.size() + part.length > limit) {
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
        return Result.err(Rejection.of(RefusalReason.BODY_TOO_LARGE, "the body is larger than " + limit + " bytes"));
    }

    private void finish(Result<HttpBody, Rejection> result) {
        if (done) {
            return;
        }
        done = true;
        if (timer != null) {
            timer.remove();
        }
        // A body that arrives late is handed over as a handler's call, after which the exchange would end on its own.
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> callback.accept(result));
    }
}
