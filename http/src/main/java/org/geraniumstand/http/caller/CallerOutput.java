package org.geraniumstand.http.caller;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.http.upstream.Flow;
import org.xnio.IoUtils;

/** Writes bytes to a caller in order and holds the backend server back while the caller is slow. */
public final class CallerOutput {
    private static final int PAUSE_BYTES = 256 * 1024;
    private static final int RESUME_BYTES = 64 * 1024;
    private static final long FLUSH_MILLIS = 2_000;

    private final HttpServerExchange exchange;
    private List<ByteBuffer> queue = new ArrayList<>();
    private int queued;
    private Flow flow;
    private boolean paused;
    private boolean sending;
    private Runnable onDrained;

    /**
     * Creates an output without bytes.
     *
     * @param exchange the caller's exchange
     */
    public CallerOutput(HttpServerExchange exchange) {
        this.exchange = exchange;
    }

    /**
     * Holds back this attempt from now on.
     *
     * @param next the attempt
     */
    public void hold(Flow next) {
        flow = next;
        paused = false;
        adjust();
    }

    /**
     * Sends bytes after those before.
     *
     * @param bytes the bytes, not to be changed afterwards
     */
    public void send(ByteBuffer bytes) {
        queue.add(bytes);
        queued += bytes.remaining();
        adjust();
        pump();
    }

    /** Ends the answer after all bytes. */
    public void end() {
        drainThen(exchange::endExchange);
    }

    /** Cuts the connection, so that the caller sees that the answer is not whole. */
    public void cut() {
        IoUtils.safeClose(exchange.getConnection());
    }

    /** Cuts the connection after all bytes, or after a while if the caller does not read them. */
    public void drainAndCut() {
        exchange.getIoThread().executeAfter(this::cut, FLUSH_MILLIS, TimeUnit.MILLISECONDS);
        drainThen(this::cut);
    }

    private void drainThen(Runnable action) {
        onDrained = action;
        pump();
    }

    private void pump() {
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
        int bytes = queued;
        queue = new ArrayList<>();
        exchange.getResponseSender().send(parts, new Sent(bytes));
    }

    private void adjust() {
        if (flow == null) {
            return;
        }
        if (!paused && queued > PAUSE_BYTES) {
            paused = true;
            flow.pause();
        } else if (paused && queued < RESUME_BYTES) {
            paused = false;
            flow.resume();
        }
    }

    private final class Sent implements IoCallback {
        private final int bytes;

        Sent(int bytes) {
            this.bytes = bytes;
        }

        @Override
        public void onComplete(HttpServerExchange _exchange, Sender _sender) {
            sending = false;
            queued -= bytes;
            adjust();
            pump();
        }

        @Override
        public void onException(HttpServerExchange _exchange, Sender _sender, IOException _e) {
            cut();
            exchange.endExchange();
        }
    }
}
