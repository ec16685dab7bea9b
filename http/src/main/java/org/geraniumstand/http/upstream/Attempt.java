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
import io.undertow.util.Methods;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.support.net.BodyWriter;
import org.geraniumstand.support.net.Callbacks;
import org.geraniumstand.support.net.ConnectionShelf;
import org.geraniumstand.support.net.Connections;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSourceChannel;

/** One attempt at a backend server; it belongs to one I/O thread. */
public final class Attempt implements Flow {
    private static final long PROVEN_MILLIS = 300;
    private static final long REUSE_MILLIS = 5_000;

    /** Milliseconds for a connection to be made; a round trip takes a few, a lost packet is sent again after 1,000. */
    private static final long CONNECT_MILLIS = 500;

    private final AttemptSpec spec;
    private final Origin origin;
    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final ConnectionShelf shelf;
    private final AttemptListener listener;
    private ClientConnection connection;
    private StreamSourceChannel answer;
    private AnswerHead head;
    private BodyWriter writer;
    private XnioExecutor.Key silence;
    private long startNanos;
    private long lastByteNanos;
    private boolean paused;
    private boolean done;

    Attempt(
            AttemptSpec spec,
            Origin origin,
            XnioIoThread thread,
            ByteBufferPool buffers,
            ConnectionShelf shelf,
            AttemptListener listener) {
        this.spec = spec;
        this.origin = origin;
        this.thread = thread;
        this.buffers = buffers;
        this.shelf = shelf;
        this.listener = listener;
    }

    /** Connects and sends the request. */
    public void start() {
        startNanos = System.nanoTime();
        lastByteNanos = startNanos;
        watchSilence(spec.limits().firstByteMillis());
        long reuse = spec.limits().provenConnection() ? PROVEN_MILLIS : REUSE_MILLIS;
        shelf.take(origin.uri(), reuse).ifPresentOrElse(this::sendOn, this::connect);
    }

    /** Returns whether bytes of the request may have left this process. */
    public boolean sent() {
        return connection != null;
    }

    /** Returns whether the attempt has not ended. */
    public boolean running() {
        return !done;
    }

    /** Ends the attempt and closes its connection; the listener is told nothing more. */
    public void cancel() {
        if (!done) {
            finish();
            Connections.closeNow(connection);
        }
    }

    @Override
    public void pause() {
        paused = true;
        if (answer != null) {
            answer.suspendReads();
        }
    }

    @Override
    public void resume() {
        if (!paused || done) {
            return;
        }
        paused = false;
        lastByteNanos = System.nanoTime();
        if (answer != null) {
            answer.wakeupReads();
        }
    }

    private void connect() {
        UndertowClient.getInstance()
                .connect(
                        Callbacks.of(this::sendOn, _e -> fail(AttemptEnd.NOT_CONNECTED)),
                        origin.uri(),
                        thread,
                        buffers,
                        OptionMap.EMPTY);
    }

    private void sendOn(ClientConnection open) {
        if (done) {
            IoUtils.safeClose(open);
            return;
        }
        listener.onConnected();
        if (done) {
            IoUtils.safeClose(open);
            return;
        }
        connection = open;
        ClientRequest request =
                new ClientRequest().setMethod(Methods.fromString(spec.method())).setPath(spec.path());
        HeaderMap headers = request.getRequestHeaders();
        headers.put(Headers.CONTENT_LENGTH, spec.body().size());
        spec.protocol().writeHead(headers, origin.authority(), spec);
        open.sendRequest(request, Callbacks.of(this::writeBody, _e -> fail(AttemptEnd.BROKEN)));
    }

    private void writeBody(ClientExchange exchange) {
        exchange.setResponseListener(Callbacks.of(this::readHead, _e -> fail(AttemptEnd.BROKEN)));
        writer = new BodyWriter(exchange.getRequestChannel(), spec.body(), () -> fail(AttemptEnd.BROKEN));
        writer.start();
    }

    private void readHead(ClientExchange exchange) {
        if (done) {
            return;
        }
        ClientResponse response = exchange.getResponse();
        head = new AnswerHead(response.getResponseCode(), response.getResponseHeaders());
        if (!spec.protocol().answers(head, spec)) {
            // The answer belongs to another request, so this connection is out of step.
            fail(AttemptEnd.BROKEN);
            return;
        }
        lastByteNanos = System.nanoTime();
        answer = exchange.getResponseChannel();
        answer.getReadSetter().set((ChannelListener<StreamSourceChannel>) this::drain);
        watchSilence(spec.limits().betweenBytesMillis());
        listener.onHead(head);
        drain(answer);
    }

    private void drain(StreamSourceChannel channel) {
        try (PooledByteBuffer pooled = buffers.allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (!done && !paused) {
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
                lastByteNanos = System.nanoTime();
                buffer.flip();
                listener.onBytes(buffer);
            }
        } catch (IOException _e) {
            fail(AttemptEnd.BROKEN);
        }
    }

    private void complete() {
        finish();
        if (writer.written()) {
            shelf.put(origin.uri(), connection);
        } else {
            // The server answered early and still waits for the rest of the body.
            IoUtils.safeClose(connection);
        }
        if (spec.protocol().vouchesNotRun(head)) {
            listener.onEnd(AttemptEnd.DECLINED);
        } else {
            listener.onEnd(head.serverError() ? AttemptEnd.SERVER_ERROR : AttemptEnd.ANSWERED);
        }
    }

    private void fail(AttemptEnd end) {
        if (done) {
            return;
        }
        finish();
        Connections.closeNow(connection);
        listener.onEnd(end);
    }

    // One timer watches all bytes of a phase; setting it anew for each part of the answer would cost more.
    private void watchSilence(long limitMillis) {
        if (silence != null) {
            silence.remove();
        }
        long quietMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastByteNanos);
        long leftMillis = limitMillis - quietMillis;
        if (connection == null) {
            leftMillis = Math.min(leftMillis, CONNECT_MILLIS - sinceStartMillis());
        }
        silence = thread.executeAfter(() -> checkSilence(limitMillis), Math.max(1, leftMillis), TimeUnit.MILLISECONDS);
    }

    private long sinceStartMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    private void checkSilence(long limitMillis) {
        silence = null;
        if (done) {
            return;
        }
        if (paused) {
            lastByteNanos = System.nanoTime();
        }
        if (connection == null && sinceStartMillis() >= CONNECT_MILLIS) {
            fail(AttemptEnd.NOT_CONNECTED);
        } else if (System.nanoTime() - lastByteNanos >= TimeUnit.MILLISECONDS.toNanos(limitMillis)) {
            fail(connection == null ? AttemptEnd.NOT_CONNECTED : AttemptEnd.SILENT);
        } else {
            watchSilence(limitMillis);
        }
    }

    private void finish() {
        done = true;
        if (silence != null) {
            silence.remove();
        }
    }
}
