package org.geraniumstand.http.caller;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.http.AnswerFraming;
import org.geraniumstand.http.upstream.FlowControl;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;
import org.xnio.IoUtils;
import org.xnio.Options;

/**
 * Writes an answer to a caller in order, and pauses reading from the backend server while the caller reads slowly.
 *
 * <p>A caller can tell a part of an answer from a whole one, however this process ends: the answer has a length or chunks, or,
 * where the caller knows no chunks, its connection is reset unless the answer is complete.
 */
public final class CallerOutput {
    private static final Log LOG = Log.of(CallerOutput.class);

    /** Number of queued bytes above which reading from the backend server is paused. */
    private static final int PAUSE_BYTES = 256 * 1024;

    /** Number of queued bytes below which reading is resumed. */
    private static final int RESUME_BYTES = 64 * 1024;

    private static final long FLUSH_TIMEOUT_MILLIS = 2_000;

    /**
     * Maximum number of bytes sent together with the head of an answer. The library keeps them with the connection until the next
     * answer; an idle connection would keep the first part of a large answer.
     */
    private static final int MAX_FIRST_BYTES = 16 * 1024;

    /** Number of bytes sent together with the head if there are more. */
    private static final int FIRST_BYTES = 1_024;

    private final HttpServerExchange exchange;
    private final String requestId;
    private final MemoryAccount.Holding memory;
    private List<ByteBuffer> queue = new ArrayList<>();
    private int queuedBytes;
    private FlowControl flow;
    private boolean paused;
    private boolean noRoom;
    private boolean sending;
    private Runnable onDrained;
    private boolean framed;
    private boolean endsWithConnection;
    private boolean aborted;

    /**
     * Creates an output for one exchange.
     *
     * @param exchange the caller's exchange
     * @param requestId the id by which the log names the request
     */
    public CallerOutput(HttpServerExchange exchange, String requestId) {
        this.exchange = exchange;
        this.requestId = requestId;
        this.memory = AnswerMemory.of(exchange);
    }

    /**
     * Applies backpressure to this attempt from now on.
     *
     * @param next pauses and resumes the attempt
     */
    public void setUpstream(FlowControl next) {
        flow = next;
        paused = false;
        updateBackpressure();
    }

    /**
     * Queues bytes for sending after all earlier ones.
     *
     * @param bytes the bytes, which must not be modified afterwards
     */
    public void send(ByteBuffer bytes) {
        if (!framed && bytes.remaining() > MAX_FIRST_BYTES) {
            enqueue(ByteBuffer.wrap(takeFirst(bytes)));
        }
        enqueue(bytes);
    }

    private void enqueue(ByteBuffer bytes) {
        frame();
        queue.add(bytes);
        queuedBytes += bytes.remaining();
        noRoom |= !memory.charge(bytes.remaining());
        updateBackpressure();
        sendQueued();
    }

    /**
     * Sends the whole body of an answer and completes it; what waits counts until the exchange is complete.
     *
     * @param exchange the caller's exchange
     * @param body the body, which must not be modified afterwards
     */
    public static void sendWhole(HttpServerExchange exchange, byte[] body) {
        AnswerMemory.of(exchange).charge(body.length);
        ByteBuffer bytes = ByteBuffer.wrap(body);
        if (body.length <= MAX_FIRST_BYTES) {
            exchange.getResponseSender().send(bytes);
            return;
        }
        exchange.setResponseContentLength(body.length);
        exchange.getResponseSender().send(ByteBuffer.wrap(takeFirst(bytes)), new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange _exchange, Sender sender) {
                sender.send(bytes, IoCallback.END_EXCHANGE);
            }

            @Override
            public void onException(HttpServerExchange failed, Sender sender, IOException e) {
                IoCallback.END_EXCHANGE.onException(failed, sender, e);
            }
        });
    }

    private static byte[] takeFirst(ByteBuffer bytes) {
        byte[] first = new byte[FIRST_BYTES];
        bytes.get(first);
        return first;
    }

    /** Completes the answer once all queued bytes are sent. */
    public void end() {
        runWhenDrained(this::endExchange);
    }

    /** Closes the connection, so that the caller can tell that the answer is incomplete. */
    public void abort() {
        if (aborted || exchange.isResponseComplete()) {
            // The connection may carry the next request by now.
            return;
        }
        aborted = true;
        LOG.info(
                "answer-aborted",
                Field.of("request", requestId),
                Field.of("protocol", exchange.getProtocol()),
                Field.of("framing", AnswerFraming.of(exchange.getResponseHeaders())),
                Field.of("sentBytes", exchange.getResponseBytesSent()),
                Field.of("queuedBytes", queuedBytes));
        IoUtils.safeClose(exchange.getConnection());
    }

    /**
     * Closes the connection once all queued bytes are sent, or after 2 s if the caller does not read them. A connection that is
     * reset is always closed after 2 s, as the reset takes from the caller what it has not received.
     */
    public void drainAndAbort() {
        exchange.getIoThread().executeAfter(this::abort, FLUSH_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        if (!endsWithConnection) {
            runWhenDrained(this::abort);
        }
    }

    private void frame() {
        if (framed) {
            return;
        }
        framed = true;
        HeaderMap headers = exchange.getResponseHeaders();
        if (AnswerFraming.of(headers) != AnswerFraming.CONNECTION) {
            return;
        }
        if (exchange.isHttp11()) {
            // The library would leave the chunks out where the connection does not stay open.
            headers.put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        } else {
            endsWithConnection = true;
            resetOnClose(true);
        }
    }

    private void endExchange() {
        if (endsWithConnection) {
            resetOnClose(false);
        }
        exchange.endExchange();
    }

    /** Sets whether the connection is reset when it is closed, also by the end of the process. */
    private void resetOnClose(boolean reset) {
        try {
            exchange.getConnection().setOption(Options.CLOSE_ABORT, reset);
        } catch (IOException _e) {
            abort();
        }
    }

    private void runWhenDrained(Runnable action) {
        onDrained = action;
        sendQueued();
    }

    private void sendQueued() {
        if (sending) {
            return;
        }
        if (queue.isEmpty()) {
            if (onDrained != null) {
                onDrained.run();
                onDrained = null;
            }
            return;
        }
        sending = true;
        ByteBuffer[] parts = queue.toArray(new ByteBuffer[0]);
        int bytes = queuedBytes;
        queue = new ArrayList<>();
        exchange.getResponseSender().send(parts, new SendCallback(bytes));
    }

    private void updateBackpressure() {
        if (flow == null) {
            return;
        }
        if (!paused && (queuedBytes > PAUSE_BYTES || noRoom)) {
            paused = true;
            flow.pause();
        } else if (paused && queuedBytes < RESUME_BYTES && !noRoom) {
            paused = false;
            flow.resume();
        }
    }

    private final class SendCallback implements IoCallback {
        private final int bytes;

        SendCallback(int bytes) {
            this.bytes = bytes;
        }

        @Override
        public void onComplete(HttpServerExchange _exchange, Sender _sender) {
            sending = false;
            queuedBytes -= bytes;
            memory.shrink(bytes);
            // Without room nothing is read from the backend server until the caller has taken all that waits.
            noRoom &= queuedBytes > 0;
            updateBackpressure();
            sendQueued();
        }

        @Override
        public void onException(HttpServerExchange _exchange, Sender _sender, IOException _e) {
            abort();
            exchange.endExchange();
        }
    }
}
