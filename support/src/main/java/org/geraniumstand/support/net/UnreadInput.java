package org.geraniumstand.support.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;
import org.geraniumstand.support.log.StackSummary;
import org.xnio.conduits.ConduitStreamSourceChannel;

/** Tells whether an idle connection has input, which belongs to no answer; confined to one I/O thread. */
final class UnreadInput {
    private static final Log LOG = Log.of(UnreadInput.class);

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
}
