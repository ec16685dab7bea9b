package org.geraniumstand.support.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.channels.StreamSourceChannel;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.StreamSinkConduit;

/** Accepts all that is written to a connection, and sends none of it while its switch says so. */
final class DiscardingConduit extends AbstractStreamSinkConduit<StreamSinkConduit> {
    private final WriteSwitch writes;

    DiscardingConduit(StreamSinkConduit next, WriteSwitch writes) {
        super(next);
        this.writes = writes;
    }

    @Override
    public int write(ByteBuffer source) throws IOException {
        return writes.discarding() ? discard(source) : next.write(source);
    }

    @Override
    public long write(ByteBuffer[] sources, int offset, int length) throws IOException {
        return writes.discarding() ? discard(sources, offset, length) : next.write(sources, offset, length);
    }

    @Override
    public int writeFinal(ByteBuffer source) throws IOException {
        return writes.discarding() ? discard(source) : next.writeFinal(source);
    }

    @Override
    public long writeFinal(ByteBuffer[] sources, int offset, int length) throws IOException {
        return writes.discarding() ? discard(sources, offset, length) : next.writeFinal(sources, offset, length);
    }

    @Override
    public long transferFrom(FileChannel source, long position, long count) throws IOException {
        rejectTransfer();
        return next.transferFrom(source, position, count);
    }

    @Override
    public long transferFrom(StreamSourceChannel source, long count, ByteBuffer throughBuffer) throws IOException {
        rejectTransfer();
        return next.transferFrom(source, count, throughBuffer);
    }

    @Override
    public boolean flush() throws IOException {
        return writes.discarding() || next.flush();
    }

    @Override
    public void terminateWrites() throws IOException {
        if (!writes.discarding()) {
            next.terminateWrites();
        }
    }

    private void rejectTransfer() throws IOException {
        if (writes.discarding()) {
            throw new IOException("a transfer cannot be discarded");
        }
    }

    private static int discard(ByteBuffer source) {
        int count = source.remaining();
        source.position(source.limit());
        return count;
    }

    private static long discard(ByteBuffer[] sources, int offset, int length) {
        long count = 0;
        for (int i = offset; i < offset + length; i++) {
            count += discard(sources[i]);
        }
        return count;
    }
}
