package org.geraniumstand.http.upstream;

import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.platform.net.BodyWriter;
import org.geraniumstand.platform.net.Callbacks;
import org.geraniumstand.platform.net.ConnectionShelf;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSourceChannel;

/** One attempt at a backend server; it belongs to one I/O thread. */
public final class Attempt {
    private static final long PROVEN_MILLIS = 300;
    private static final long REUSE_MILLIS = 5_000;
    private static final int SERVER_ERROR = 500;
    private static final HttpString IDENTITY = new HttpString("X-Request-Id");
    private static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");
    private static final HttpString OUTCOME = new HttpString("X-Outcome");
    private static final String NOT_RUN = "not-run";

    private final AttemptSpec spec;
    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final ConnectionShelf shelf;
    private final AttemptListener listener;
    private ClientConnection connection;
    private XnioExecutor.Key silence;
    private boolean done;
    private int status;
    private boolean declined;

    Attempt(
            AttemptSpec spec,
            XnioIoThread thread,
            ByteBufferPool buffers,
            ConnectionShelf shelf,
            AttemptListener listener) {
        this.spec = spec;
        this.thread = thread;
        this.buffers = buffers;
        this.shelf = shelf;
        this.listener = listener;
    }

    void start() {
        expectWithin(spec.limits().firstByteMillis());
        long reuse = spec.limits().provenConnection() ? PROVEN_MILLIS : REUSE_MILLIS;
        shelf.take(origin(), reuse).ifPresentOrElse(this::sendOn, this::connect);
    }

    /** Ends the attempt and closes its connection; the listener is told nothing more. */
    public void cancel() {
        finish();
        IoUtils.safeClose(connection);
    }

    private URI origin() {
        return URI.create(
                "http://" + spec.server().address() + ":" + spec.server().port());
    }

    private void connect() {
        UndertowClient.getInstance()
                .connect(
                        Callbacks.of(this::sendOn, _e -> fail(AttemptEnd.NOT_CONNECTED)),
                        origin(),
                        thread,
                        buffers,
                        OptionMap.EMPTY);
    }

    private void sendOn(ClientConnection open) {
        if (done) {
            IoUtils.safeClose(open);
            return;
        }
        connection = open;
        ClientRequest head =
                new ClientRequest().setMethod(new HttpString(spec.method())).setPath(spec.path());
        HeaderMap headers = head.getRequestHeaders();
        headers.put(Headers.HOST, origin().getAuthority());
        headers.put(Headers.CONTENT_LENGTH, spec.body().size());
        headers.put(IDENTITY, spec.identity());
        spec.contentType().ifPresent(type -> headers.put(Headers.CONTENT_TYPE, type));
        spec.idempotencyKey().ifPresent(key -> headers.put(IDEMPOTENCY_KEY, key));
        open.sendRequest(head, Callbacks.of(this::writeBody, _e -> fail(AttemptEnd.BROKEN)));
    }

    private void writeBody(ClientExchange exchange) {
        exchange.setResponseListener(Callbacks.of(this::readHead, _e -> fail(AttemptEnd.BROKEN)));
        new BodyWriter(exchange.getRequestChannel(), spec.body(), () -> fail(AttemptEnd.BROKEN)).start();
    }

    private void readHead(ClientExchange exchange) {
        if (done) {
            return;
        }
        ClientResponse response = exchange.getResponse();
        String identity = response.getResponseHeaders().getFirst(IDENTITY);
        if (identity != null && !identity.equals(spec.identity())) {
            // The answer belongs to another request, so this connection is out of step.
            fail(AttemptEnd.BROKEN);
            return;
        }
        status = response.getResponseCode();
        declined = NOT_RUN.equals(response.getResponseHeaders().getFirst(OUTCOME));
        expectWithin(spec.limits().betweenBytesMillis());
        listener.onHead(new AttemptListener.AnswerHead(
                status, Optional.ofNullable(response.getResponseHeaders().getFirst(Headers.CONTENT_TYPE)), declined));
        StreamSourceChannel channel = exchange.getResponseChannel();
        channel.getReadSetter().set((ChannelListener<StreamSourceChannel>) this::drain);
        drain(channel);
    }

    private void drain(StreamSourceChannel channel) {
        try (PooledByteBuffer pooled = buffers.allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (!done) {
                buffer.clear();
                int count = channel.read(buffer);
                if (count == 0) {
                    channel.resumeReads();
                    return;
                }
                if (count < 0) {
                    complete();
                    return;
                }
                expectWithin(spec.limits().betweenBytesMillis());
                buffer.flip();
                listener.onBytes(buffer);
            }
        } catch (IOException _e) {
            fail(AttemptEnd.BROKEN);
        }
    }

    private void complete() {
        if (done) {
            return;
        }
        finish();
        shelf.put(origin(), connection);
        if (declined) {
            listener.onEnd(AttemptEnd.DECLINED);
        } else {
            listener.onEnd(status >= SERVER_ERROR ? AttemptEnd.SERVER_ERROR : AttemptEnd.ANSWERED);
        }
    }

    private void fail(AttemptEnd end) {
        if (done) {
            return;
        }
        finish();
        IoUtils.safeClose(connection);
        listener.onEnd(end);
    }

    private void expectWithin(long millis) {
        if (silence != null) {
            silence.remove();
        }
        silence = thread.executeAfter(() -> fail(silenceEnd()), millis, TimeUnit.MILLISECONDS);
    }

    private AttemptEnd silenceEnd() {
        return connection == null ? AttemptEnd.NOT_CONNECTED : AttemptEnd.SILENT;
    }

    private void finish() {
        done = true;
        if (silence != null) {
            silence.remove();
        }
    }
}
