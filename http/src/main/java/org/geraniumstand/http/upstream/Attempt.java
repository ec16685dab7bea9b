package org.geraniumstand.http.upstream;

import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.http.AnswerFraming;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;
import org.geraniumstand.support.net.BodyWriter;
import org.geraniumstand.support.net.Callbacks;
import org.geraniumstand.support.net.ChannelReader;
import org.geraniumstand.support.net.CheckAnswerHead;
import org.geraniumstand.support.net.ConnectionPool;
import org.geraniumstand.support.net.Connections;
import org.geraniumstand.support.net.FramingLimit;
import org.geraniumstand.support.net.InvalidHeadException;
import org.geraniumstand.support.net.ServerConnection;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** Sends a request to a backend server once and reads the answer; confined to one I/O thread. */
public final class Attempt implements FlowControl {
    private static final Log LOG = Log.of(Attempt.class);

    /** Maximum idle time of a pooled connection for attempts that require a recently used one, in milliseconds. */
    private static final long MAX_IDLE_RECENT_MILLIS = 300;

    /** Maximum idle time of a pooled connection for all other attempts, in milliseconds. */
    private static final long MAX_IDLE_MILLIS = 5_000;

    /**
     * Connect timeout in milliseconds. A round trip takes a few milliseconds; a lost packet is retransmitted only after
     * 1,000.
     */
    private static final long CONNECT_TIMEOUT_MILLIS = 500;

    /** Maximum length of another request's id in a line of the log, in characters; servers choose it. */
    private static final int MAX_LOGGED_ID_CHARS = 128;

    private final AttemptSpec spec;
    private final Origin origin;
    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final ConnectionPool pool;
    private final AttemptListener listener;
    private ServerConnection connection;
    private int connectionPort;
    private ChannelReader reader;
    private AnswerHead head;
    private AnswerStatement statement;
    private RepeatedAnswers repeatedAnswers;
    private BodyWriter writer;
    private XnioExecutor.Key timeoutKey;
    private long startNanos;
    private long lastByteNanos;
    private boolean paused;
    private boolean done;

    Attempt(
            AttemptSpec spec,
            Origin origin,
            XnioIoThread thread,
            ByteBufferPool buffers,
            ConnectionPool pool,
            AttemptListener listener) {
        this.spec = spec;
        this.origin = origin;
        this.thread = thread;
        this.buffers = buffers;
        this.pool = pool;
        this.listener = listener;
    }

    /** Sends the request on a pooled connection or on a new one. */
    public void start() {
        startNanos = System.nanoTime();
        lastByteNanos = startNanos;
        scheduleTimeout(spec.limits().firstByteMillis());
        long maxIdleMillis = spec.limits().requiresRecentConnection() ? MAX_IDLE_RECENT_MILLIS : MAX_IDLE_MILLIS;
        pool.acquire(origin.uri(), maxIdleMillis, this::mayCarryRequest)
                .ifPresentOrElse(this::sendRequestOn, this::connect);
    }

    /** Returns whether bytes of the request may have been sent. */
    public boolean sent() {
        return connection != null;
    }

    /** Returns the local port of the attempt's connection, which identifies it among those to the same server; 0 without one. */
    public int connectionPort() {
        return connectionPort;
    }

    /** Returns whether the attempt is still in progress. */
    public boolean running() {
        return !done;
    }

    /** Cancels the attempt and closes its connection; the listener is not called again. */
    public void cancel() {
        if (!done) {
            finish();
            closeNow();
        }
    }

    @Override
    public void pause() {
        if (done) {
            // The connection may serve another attempt by now.
            return;
        }
        paused = true;
        if (reader != null) {
            reader.pause();
        }
    }

    @Override
    public void resume() {
        if (!paused || done) {
            return;
        }
        paused = false;
        lastByteNanos = System.nanoTime();
        if (reader != null) {
            reader.resume();
        }
    }

    private boolean mayCarryRequest(ServerConnection pooled) {
        // A late copy of an earlier answer to the same request would be taken for the answer to this attempt.
        boolean answered = pooled.answeredIds().contains(spec.attemptId());
        // A late copy of an answer to a HEAD request has no body, but would be read with one.
        return !answered && (headRequest() || !pooled.answeredHead());
    }

    private boolean headRequest() {
        return spec.method().equals(Methods.HEAD_STRING);
    }

    private void connect() {
        ServerConnection.open(origin.uri(), thread, buffers, this::sendRequestOn, _e -> fail(AttemptEnd.NOT_CONNECTED));
    }

    private void sendRequestOn(ServerConnection established) {
        if (done) {
            IoUtils.safeClose(established.client());
            return;
        }
        listener.onConnected();
        if (done) {
            IoUtils.safeClose(established.client());
            return;
        }
        connection = established;
        connectionPort = localPort(established);
        repeatedAnswers = new RepeatedAnswers(established, buffers, this::readHead, this::failReading);
        ClientRequest request =
                new ClientRequest().setMethod(Methods.fromString(spec.method())).setPath(spec.path());
        HeaderMap headers = request.getRequestHeaders();
        headers.put(Headers.CONTENT_LENGTH, spec.body().size());
        spec.protocol().writeHead(headers, origin.authority(), spec);
        established.sendRequest(request, this::writeBody, _e -> fail(AttemptEnd.BROKEN));
    }

    private static int localPort(ServerConnection connection) {
        InetSocketAddress address = connection.client().getLocalAddress(InetSocketAddress.class);
        return address == null ? 0 : address.getPort();
    }

    private void writeBody(ClientExchange exchange) {
        exchange.setResponseListener(Callbacks.of(this::readHead, this::failReading));
        writer = new BodyWriter(exchange.getRequestChannel(), spec.body(), () -> fail(AttemptEnd.BROKEN));
        writer.start();
    }

    private void readHead(ClientExchange exchange) {
        if (done) {
            return;
        }
        ClientResponse response = exchange.getResponse();
        Optional<String> invalid = CheckAnswerHead.check(response);
        if (invalid.isPresent()) {
            LOG.warn(
                    "answer-invalid",
                    Field.of("request", spec.attemptId()),
                    Field.of("server", origin.authority()),
                    Field.of("status", response.getResponseCode()),
                    Field.of("reason", invalid.get()));
            fail(AttemptEnd.BROKEN);
            return;
        }
        AnswerHead received = new AnswerHead(response.getResponseCode(), response.getResponseHeaders());
        AnswerStatement stated = spec.protocol().statementOf(received);
        if (!stated.canAnswer(spec.attemptId())) {
            onAnswerOfAnotherRequest(exchange, stated);
            return;
        }
        head = received;
        statement = stated;
        lastByteNanos = System.nanoTime();
        scheduleTimeout(spec.limits().betweenBytesMillis());
        reader = new ChannelReader(exchange.getResponseChannel(), buffers, new BodyListener());
        if (paused) {
            reader.pause();
        }
        listener.onHead(head);
        reader.start();
    }

    private void onAnswerOfAnotherRequest(ClientExchange exchange, AnswerStatement stated) {
        String answered = stated.attemptId().orElse("");
        // If the other request was not sent on this connection, the server has mixed up its answers.
        boolean repeated = connection.answeredIds().contains(answered);
        LOG.warn(
                "answer-of-another-request",
                Field.of("request", spec.attemptId()),
                Field.of("server", origin.authority()),
                Field.of("answered", answered.substring(0, Math.min(answered.length(), MAX_LOGGED_ID_CHARS))),
                Field.of("repeated", repeated),
                Field.of("status", exchange.getResponse().getResponseCode()));
        if (repeated && writer.written()) {
            repeatedAnswers.drop(exchange);
        } else {
            fail(AttemptEnd.BROKEN);
        }
    }

    private void complete() {
        if (mayBeCut()) {
            LOG.warn(
                    "answer-cut",
                    Field.of("request", spec.attemptId()),
                    Field.of("server", origin.authority()),
                    Field.of("status", head.status()),
                    Field.of("reason", "the answer has no length and the request was not written to its end"));
            fail(AttemptEnd.BROKEN);
            return;
        }
        finish();
        if (mayReuseConnection()) {
            pool.release(origin.uri(), connection);
        } else {
            IoUtils.safeClose(connection.client());
        }
        if (statement.notRun()) {
            listener.onEnd(AttemptEnd.DECLINED);
        } else {
            listener.onEnd(head.serverError() ? AttemptEnd.SERVER_ERROR : AttemptEnd.ANSWERED);
        }
    }

    /**
     * Returns whether the end of the connection may have come before that of the answer. A server that closes a connection
     * while it is sent a request may lose a part of its answer, and only the connection's end tells that of an answer without
     * length. Source: RFC 9112, section 9.6.
     */
    private boolean mayBeCut() {
        boolean endsWithConnection = !headRequest()
                && head.framing() == AnswerFraming.CONNECTION
                && head.status() != StatusCodes.NO_CONTENT
                && head.status() != StatusCodes.NOT_MODIFIED;
        return endsWithConnection && !writer.written() && !statement.notRun();
    }

    private boolean mayReuseConnection() {
        if (headRequest()) {
            connection.onAnsweredHead();
        }
        // A server that answers before it read the whole request body takes the rest of it for the next request.
        return writer.written()
                && statement.allowsReuse()
                && connection.answeredIds().add(spec.attemptId(), statement.success());
    }

    private void closeNow() {
        Connections.closeNow(connection == null ? null : connection.client());
    }

    private void failReading(IOException reason) {
        if (reason instanceof FramingLimit.ExceededException) {
            LOG.warn(
                    "answer-without-end",
                    Field.of("request", spec.attemptId()),
                    Field.of("server", origin.authority()),
                    Field.of("reason", reason.getMessage()));
        }
        if (reason instanceof InvalidHeadException) {
            LOG.warn(
                    "answer-invalid",
                    Field.of("request", spec.attemptId()),
                    Field.of("server", origin.authority()),
                    Field.of("reason", reason.getMessage()));
        }
        fail(AttemptEnd.BROKEN);
    }

    private void fail(AttemptEnd end) {
        if (done) {
            return;
        }
        finish();
        closeNow();
        listener.onEnd(end);
    }

    // One timer covers a whole phase and is rescheduled when it fires; resetting it for each part received would cost
    // more.
    private void scheduleTimeout(long timeoutMillis) {
        if (timeoutKey != null) {
            timeoutKey.remove();
        }
        long idleMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastByteNanos);
        long remainingMillis = timeoutMillis - idleMillis;
        if (connection == null) {
            remainingMillis = Math.min(remainingMillis, CONNECT_TIMEOUT_MILLIS - sinceStartMillis());
        }
        timeoutKey = thread.executeAfter(
                () -> checkTimeout(timeoutMillis), Math.max(1, remainingMillis), TimeUnit.MILLISECONDS);
    }

    private long sinceStartMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    private void checkTimeout(long timeoutMillis) {
        timeoutKey = null;
        if (done) {
            return;
        }
        if (paused) {
            lastByteNanos = System.nanoTime();
        }
        if (connection == null && sinceStartMillis() >= CONNECT_TIMEOUT_MILLIS) {
            fail(AttemptEnd.NOT_CONNECTED);
        } else if (System.nanoTime() - lastByteNanos >= TimeUnit.MILLISECONDS.toNanos(timeoutMillis)) {
            fail(connection == null ? AttemptEnd.NOT_CONNECTED : AttemptEnd.SILENT);
        } else {
            scheduleTimeout(timeoutMillis);
        }
    }

    private void finish() {
        done = true;
        if (repeatedAnswers != null) {
            repeatedAnswers.stop();
        }
        if (reader != null) {
            reader.stop();
        }
        if (timeoutKey != null) {
            timeoutKey.remove();
        }
    }

    /** Passes the parts of the answer's body on. */
    private final class BodyListener implements ChannelReader.Listener {
        @Override
        public void onPart(ByteBuffer part) {
            lastByteNanos = System.nanoTime();
            connection.framing().onProgress();
            listener.onBytes(part);
        }

        @Override
        public void onEnd() {
            complete();
        }

        @Override
        public void onFailure(IOException reason) {
            failReading(reason);
        }
    }
}
