package org.geraniumstand.support.net;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads a body to its end in turns of limited length; confined to the I/O thread of its channel.
 *
 * <p>A peer that sends faster than its bytes are processed always has more to read. Without a limit, the other channels and the
 * timers of the I/O thread would have to wait until such a body ends.
 */
public final class ChannelReader {
    /** Duration after which a turn ends, in nanoseconds. */
    private static final long MAX_TURN_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final StreamSourceChannel channel;
    private final ByteBufferPool buffers;
    private final Listener listener;
    private boolean paused;
    private boolean done;

    /** Receives the parts of a body. */
    public interface Listener {
        /**
         * Called when a part of the body has arrived.
         *
         * @param part the part, valid only during the call
         */
        void onPart(ByteBuffer part);

        /** Called once when the whole body has arrived. */
        void onEnd();

        /**
         * Called once if the body cannot be read to its end.
         *
         * @param reason the reason
         */
        void onFailure(IOException reason);
    }

    /**
     * Creates a reader.
     *
     * @param channel channel to read from
     * @param buffers pool of the read buffers; their size limits the size of a part
     * @param listener receives the parts
     */
    public ChannelReader(StreamSourceChannel channel, ByteBufferPool buffers, Listener listener) {
        this.channel = channel;
        this.buffers = buffers;
        this.listener = listener;
    }

    /** Reads what has arrived, and the rest as the channel becomes readable. */
    public void start() {
        channel.getReadSetter().set((ChannelListener<StreamSourceChannel>) _c -> readTurn());
        readTurn();
    }

    /** Stops reading for good; the listener is not called again. */
    public void stop() {
        done = true;
    }

    /** Stops reading until {@link #resume}. */
    public void pause() {
        paused = true;
        channel.suspendReads();
    }

    /** Continues to read after {@link #pause}. */
    public void resume() {
        paused = false;
        channel.wakeupReads();
    }

    private void readTurn() {
        if (stopped()) {
            return;
        }
        long startNanos = System.nanoTime();
        try (PooledByteBuffer pooled = buffers.allocate()) {
            int count;
            do {
                count = readPart(pooled.getBuffer());
            } while (count > 0 && !stopped() && System.nanoTime() - startNanos < MAX_TURN_NANOS);
            if (!stopped()) {
                channel.resumeReads();
            }
        } catch (IOException e) {
            if (!done) {
                done = true;
                listener.onFailure(e);
            }
        }
    }

    private boolean stopped() {
        return done || paused;
    }

    /** Reads and passes on one part, and returns its size, zero if nothing has arrived, or a negative number at the end. */
    private int readPart(ByteBuffer buffer) throws IOException {
        buffer.clear();
        int count = channel.read(buffer);
        if (count < 0) {
            done = true;
            listener.onEnd();
        } else if (count > 0) {
            buffer.flip();
            listener.onPart(buffer);
        }
        return count;
    }
}
