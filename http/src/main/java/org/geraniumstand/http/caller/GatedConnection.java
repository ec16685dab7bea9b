package org.geraniumstand.http.caller;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Charges the heads that arrive on a caller's connection to the memory of callers, closes the connection if a head
 * doesn't fit, joins header lines that the HTTP library wouldn't take (see {@link HeadLines}), and watches what the caller
 * takes of its answers; confined to the connection's I/O thread, except {@link #waitingSinceNanos}, {@link #stalledSinceNanos},
 * {@link #waitingCalls}, {@link #tryToWrite}, {@link #resetIfStalledSince} and {@link #onClosed}.
 */
final class GatedConnection extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private static final Log LOG = Log.of(GatedConnection.class);

    /** Value of {@link #waitingSinceNanos} while a request is in progress. */
    static final long BUSY = Long.MAX_VALUE;

    /** Time for a last attempt to write before a connection is reset, in milliseconds. */
    private static final long LAST_WRITE_MILLIS = 100;

    private final StreamConnection connection;
    private final MemoryAccount.Holding head;
    private final HeadLines lines;
    private final GatedOutput output;
    private volatile long waitingSinceNanos = System.nanoTime();
    private volatile Optional<IntSupplier> waitingCalls = Optional.empty();

    /**
     * Creates an instance for a connection on which no byte has arrived.
     *
     * @param connection the caller's connection
     * @param account what is held for all callers
     * @param stalledCallers is told when the caller has not taken all that was written
     * @param maxHeadBytes size of a head beyond which the HTTP library ends the connection, in bytes
     */
    GatedConnection(
            StreamConnection connection, MemoryAccount account, StalledCallers stalledCallers, int maxHeadBytes) {
        super(connection.getSourceChannel().getConduit());
        this.connection = connection;
        this.head = account.open();
        this.lines = new HeadLines(maxHeadBytes);
        this.output = new GatedOutput(connection.getSinkChannel().getConduit(), () -> stalledCallers.onStalled(this));
    }

    /** Takes the place of the connection's conduits, before the HTTP server takes the connection. */
    void install() {
        connection.getSourceChannel().setConduit(this);
        connection.getSinkChannel().setConduit(output);
    }

    /** Returns since when the caller has taken nothing of what waits for it, or {@link GatedOutput#NOTHING_WAITS}. */
    long stalledSinceNanos() {
        return output.stalledSinceNanos();
    }

    /** Returns the number of calls that wait for the place which this connection's call holds at a backend server. */
    int waitingCalls() {
        return waitingCalls.map(IntSupplier::getAsInt).orElse(0);
    }

    /** Sets the function that returns {@link #waitingCalls}, until the exchange is complete. */
    void setWaitingCalls(IntSupplier next) {
        waitingCalls = Optional.of(next);
    }

    /** Tries to write what waits: the system reports a full connection as writable only once a third of its buffer is free. */
    void tryToWrite() {
        connection.getIoThread().execute(() -> {
            ConduitStreamSinkChannel channel = connection.getSinkChannel();
            if (stalledSinceNanos() != GatedOutput.NOTHING_WAITS && channel.isWriteResumed()) {
                channel.wakeupWrites();
            }
        });
    }

    /** Returns the longest time after which the caller took the next bytes of what waited for it, in nanoseconds. */
    long longestGapNanos() {
        return output.longestGapNanos();
    }

    /**
     * Resets the connection unless the caller takes something after all: this process may have stood still, not the caller. A
     * reset lets the caller tell that its answer is incomplete, and leaves nothing of it with the system.
     *
     * @param sinceNanos since when the caller had taken nothing when this was decided
     */
    void resetIfStalledSince(long sinceNanos) {
        tryToWrite();
        connection
                .getIoThread()
                .executeAfter(
                        () -> {
                            if (stalledSinceNanos() == sinceNanos) {
                                reset(sinceNanos);
                            }
                        },
                        LAST_WRITE_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void reset(long sinceNanos) {
        LOG.info(
                "caller-closed",
                Field.of("reason", "unread"),
                Field.of("peer", connection.getPeerAddress()),
                Field.of("stalledMillis", (System.nanoTime() - sinceNanos) / Timestamp.NANOS_PER_MILLI),
                Field.of("waiting", waitingCalls()));
        try {
            connection.setOption(Options.CLOSE_ABORT, true);
        } catch (IOException _e) {
            // The connection has ended meanwhile.
        }
        IoUtils.safeClose(connection);
    }

    /** Returns since when the connection has waited for a whole head, or {@link #BUSY} while a request is in progress. */
    long waitingSinceNanos() {
        return waitingSinceNanos;
    }

    StreamConnection connection() {
        return connection;
    }

    /**
     * Records that the head of a request is complete; it is charged to the request from now on.
     *
     * @return memory that is kept for bytes which came after the head, in bytes
     */
    int onRequest(HttpServerExchange exchange) {
        waitingSinceNanos = BUSY;
        head.clear();
        exchange.addExchangeCompleteListener((completed, next) -> {
            waitingSinceNanos = System.nanoTime();
            waitingCalls = Optional.empty();
            beginNextHead(completed);
            next.proceed();
        });
        return lines.keptBytes();
    }

    void onClosed() {
        head.release();
    }

    // Only bytes that arrive while no request is in progress belong to a head, so those of a body are never scanned.
    @Override
    public int read(ByteBuffer dst) throws IOException {
        int start = dst.position();
        do {
            boolean scanned = lines.hasKept() && !lines.keptIsNew();
            int count = lines.hasKept() ? lines.take(dst) : super.read(dst);
            if (count <= 0 || scanned || waitingSinceNanos == BUSY) {
                return count;
            }
            if (!charge(count)) {
                throw new IOException("no memory for the head of a request");
            }
            dst.position(lines.scan(dst, start, dst.position()));
        } while (dst.position() == start && lines.hasKept());
        return dst.position() - start;
    }

    @Override
    public long read(ByteBuffer[] dsts, int offs, int len) throws IOException {
        for (int i = offs; i < offs + len; i++) {
            if (dsts[i].hasRemaining()) {
                return read(dsts[i]);
            }
        }
        return 0;
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
    }

    @Override
    public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) throws IOException {
        return Conduits.transfer(this, count, throughBuffer, target);
    }

    @Override
    public void resumeReads() {
        super.resumeReads();
        if (lines.hasKept()) {
            // The socket may have no more bytes that would wake the reader.
            super.wakeupReads();
        }
    }

    @Override
    public void awaitReadable() throws IOException {
        if (!lines.hasKept()) {
            super.awaitReadable();
        }
    }

    @Override
    public void awaitReadable(long time, TimeUnit timeUnit) throws IOException {
        if (!lines.hasKept()) {
            super.awaitReadable(time, timeUnit);
        }
    }

    /** Charges and follows bytes that arrived while the last request was in progress. */
    private void beginNextHead(HttpServerExchange completed) {
        lines.begin();
        if (completed.getConnection() instanceof HttpServerConnection server) {
            PooledByteBuffer extra = server.getExtraBytes();
            if (extra != null && extra.isOpen()) {
                ByteBuffer bytes = extra.getBuffer();
                if (charge(bytes.remaining())) {
                    bytes.limit(lines.scan(bytes, bytes.position(), bytes.limit()));
                }
            }
        }
    }

    private boolean charge(int headBytes) {
        if (head.grow((long) headBytes * CallerMemory.PARSED_BYTES_PER_HEAD_BYTE)) {
            return true;
        }
        LOG.info("caller-closed", Field.of("reason", "head"), Field.of("peer", connection.getPeerAddress()));
        IoUtils.safeClose(connection);
        return false;
    }
}
