package org.geraniumstand.http.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.Buffers;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.StreamSinkConduit;

/**
 * Records since when a caller has taken nothing of what waits for it; confined to the connection's I/O thread, except
 * {@link #stalledSinceNanos}.
 */
final class GatedOutput extends AbstractStreamSinkConduit<StreamSinkConduit> {
    /** Value of {@link #stalledSinceNanos} while nothing waits for the caller. */
    static final long NOTHING_WAITS = Long.MAX_VALUE;

    private final Runnable onStalled;
    private volatile long stalledSinceNanos = NOTHING_WAITS;
    private volatile long longestGapNanos;

    /**
     * Creates an output.
     *
     * @param next writes to the connection
     * @param onStalled called whenever the caller has not taken all that was written
     */
    GatedOutput(StreamSinkConduit next, Runnable onStalled) {
        super(next);
        this.onStalled = onStalled;
    }

    /** Returns since when the caller has taken nothing of what waits for it, or {@link #NOTHING_WAITS}. */
    long stalledSinceNanos() {
        return stalledSinceNanos;
    }

    /** Returns the longest time after which the caller took the next bytes of what waited for it, in nanoseconds. */
    long longestGapNanos() {
        return longestGapNanos;
    }

    @Override
    public int write(ByteBuffer src) throws IOException {
        int offered = src.remaining();
        int written = super.write(src);
        onWritten(offered, written);
        return written;
    }

    @Override
    public long write(ByteBuffer[] srcs, int offs, int len) throws IOException {
        long offered = Buffers.remaining(srcs, offs, len);
        long written = super.write(srcs, offs, len);
        onWritten(offered, written);
        return written;
    }

    @Override
    public int writeFinal(ByteBuffer src) throws IOException {
        int offered = src.remaining();
        int written = super.writeFinal(src);
        onWritten(offered, written);
        return written;
    }

    @Override
    public long writeFinal(ByteBuffer[] srcs, int offs, int len) throws IOException {
        long offered = Buffers.remaining(srcs, offs, len);
        long written = super.writeFinal(srcs, offs, len);
        onWritten(offered, written);
        return written;
    }

    // Reads the clock only if the caller has not taken everything.
    private void onWritten(long offered, long written) {
        if (written > 0 && stalledSinceNanos != NOTHING_WAITS) {
            longestGapNanos = Math.max(longestGapNanos, System.nanoTime() - stalledSinceNanos);
        }
        if (written >= offered) {
            if (stalledSinceNanos != NOTHING_WAITS) {
                stalledSinceNanos = NOTHING_WAITS;
            }
            return;
        }
        if (written > 0 || stalledSinceNanos == NOTHING_WAITS) {
            stalledSinceNanos = System.nanoTime();
        }
        onStalled.run();
    }
}
