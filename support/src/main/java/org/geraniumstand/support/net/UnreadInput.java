package org.geraniumstand.support.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;
import org.geraniumstand.support.log.StackSummary;
import org.xnio.Buffers;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.PushBackStreamSourceConduit;

/** Tells what has arrived behind an answer that was read to its end; confined to one I/O thread. */
final class UnreadInput {
    private static final Log LOG = Log.of(UnreadInput.class);

    /** Maximum number of bytes that {@link #peek} returns, at least as many as a read buffer of the HTTP client holds. */
    private static final int MAX_PEEKED_BYTES = 64 * 1024;

    private ConduitStreamSourceChannel source;

    /**
     * Sets the channel to read from; the HTTP client puts back into it what it has read beyond an answer.
     *
     * @param channel the source channel of the connection
     */
    void attach(ConduitStreamSourceChannel channel) {
        source = channel;
    }

    /** Returns whether input has arrived or the connection has ended; it must be closed then, as some input is lost. */
    boolean present() {
        try {
            return source.read(ByteBuffer.allocate(1)) != 0;
        } catch (IOException e) {
            LOG.debug("idle-connection-failed", Field.of("reason", StackSummary.of(e)));
            return true;
        }
    }

    /**
     * Returns input without taking it, at least what the HTTP client has put back.
     *
     * @throws IOException if the connection has failed
     */
    ByteBuffer peek() throws IOException {
        ByteBuffer input = ByteBuffer.allocate(MAX_PEEKED_BYTES);
        source.read(input);
        input.flip();
        if (input.hasRemaining()) {
            if (!(source.getConduit() instanceof PushBackStreamSourceConduit putBack)) {
                throw new IOException("input cannot be put back");
            }
            putBack.pushBack(Buffers.pooledWrapper(input.duplicate()));
        }
        return input;
    }
}
