package org.geraniumstand.http.caller;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Charges the heads that arrive on a caller's connection to the memory of callers, and closes the connection if a head
 * doesn't fit; confined to the connection's I/O thread, except {@link #waitingSinceNanos} and {@link #onClosed}.
 */
final class GatedConnection extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private static final Log LOG = Log.of(GatedConnection.class);

    /** Value of {@link #waitingSinceNanos} while a request is in progress. */
    static final long BUSY = Long.MAX_VALUE;

    private final StreamConnection connection;
    private final MemoryAccount.Holding head;
    private volatile long waitingSinceNanos = System.nanoTime();

    GatedConnection(StreamConnection connection, MemoryAccount account) {
        super(connection.getSourceChannel().getConduit());
        this.connection = connection;
        this.head = account.open();
    }

    /** Returns since when the connection has waited for a whole head, or {@link #BUSY} while a request is in progress. */
    long waitingSinceNanos() {
        return waitingSinceNanos;
    }

    StreamConnection connection() {
        return connection;
    }

    /** Records that the head of a request is complete; it is charged to the request from now on. */
    void onRequest(HttpServerExchange exchange) {
        waitingSinceNanos = BUSY;
        head.clear();
        exchange.addExchangeCompleteListener((completed, next) -> {
            waitingSinceNanos = System.nanoTime();
            chargeNextHead(completed);
            next.proceed();
        });
    }

    void onClosed() {
        head.release();
    }

    @Override
    public int read(ByteBuffer dst) throws IOException {
        int count = super.read(dst);
        if (count > 0 && waitingSinceNanos != BUSY && !charge(count)) {
            throw new IOException("no memory for the head of a request");
        }
        return count;
    }

    /** Charges bytes that arrived while the last request was in progress. */
    private void chargeNextHead(HttpServerExchange completed) {
        if (completed.getConnection() instanceof HttpServerConnection server) {
            PooledByteBuffer extra = server.getExtraBytes();
            if (extra != null && extra.isOpen()) {
                charge(extra.getBuffer().remaining());
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
