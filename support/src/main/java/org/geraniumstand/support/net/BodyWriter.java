package org.geraniumstand.support.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSinkChannel;

/** Writes a whole body to a channel and ends it. */
public final class BodyWriter {
    private final StreamSinkChannel channel;
    private final ByteBuffer buffer;
    private final Runnable onFailure;
    private boolean written;

    /**
     * Creates a writer.
     *
     * @param channel the channel to write to
     * @param body the body
     * @param onFailure called if the channel breaks
     */
    public BodyWriter(StreamSinkChannel channel, HttpBody body, Runnable onFailure) {
        this.channel = channel;
        this.buffer = body.buffer();
        this.onFailure = onFailure;
    }

    /** Writes as much as the channel takes now, and the rest when it takes more. */
    public void start() {
        channel.getWriteSetter().set((ChannelListener<StreamSinkChannel>) _c -> write());
        write();
    }

    /** Returns whether the whole body was handed to the connection. */
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
