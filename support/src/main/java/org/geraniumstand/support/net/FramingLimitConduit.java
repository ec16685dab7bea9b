package org.geraniumstand.support.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/** Reports the bytes that are read from a connection to its limit, and those of heads to the check of their syntax. */
final class FramingLimitConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private final FramingLimit limit;
    private final AnswerHeadSyntax heads;

    FramingLimitConduit(StreamSourceConduit next, FramingLimit limit, AnswerHeadSyntax heads) {
        super(next);
        this.limit = limit;
        this.heads = heads;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        int from = target.position();
        int count = next.read(target);
        limit.onRead(count);
        // The HTTP client reads heads with this method only.
        heads.onRead(target, from, from + count);
        return count;
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        return counted(next.read(targets, offset, length));
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        return counted(next.transferTo(position, count, target));
    }

    @Override
    public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) throws IOException {
        return counted(next.transferTo(count, throughBuffer, target));
    }

    private long counted(long count) throws IOException {
        limit.onRead(count);
        return count;
    }
}
