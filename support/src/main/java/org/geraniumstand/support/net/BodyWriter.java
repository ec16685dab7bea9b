package org.geraniumstand.support.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSinkChannel;

/** Writes a complete body to a channel and then shuts down writes. */
public final class BodyWriter {
    private final StreamSinkChannel channel;
    private final ByteBuffer buffer;
    private final Runnable onFailure;
    private boolean written;

    /**
     * Creates a writer.
     *
     * @param channel channel to write to
     * @param body body to write
     * @param onFailure called if a write fails
     */
    public BodyWriter(StreamSinkChannel channel, HttpBody body, Runnable onFailure) {
        this.channel = channel;
        this.buffer = body.buffer();
        this.onFailure = onFailure;
    }

    /** Writes as much as the channel accepts now, and the rest as the channel becomes writable. */
    public void start() {
        channel.getWriteSetter().set((ChannelListener<StreamSinkChannel>) _c -> write());
        write();
    }

    /** Returns whether the complete body was flushed to the connection. */
    public boolean written() {
        return written;
    }

    private void write() {
        try {
            while (buffer.hasRemaining()) {
                if (channel.write(buffer) == 0) {
                    channel.resumeWrites();
                    return;
                }
            }
            channel.shutdownWrites();
            if (channel.flush()) {
                written = true;
                channel.suspendWrites();
            } else {
                channel.resumeWrites();
            }
        } catch (IOException _e) {
            onFailure.run();
        }
    }
}
