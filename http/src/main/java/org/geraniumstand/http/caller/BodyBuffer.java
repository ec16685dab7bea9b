package org.geraniumstand.http.caller;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongPredicate;
import org.geraniumstand.support.net.HttpBody;

/** Collects the bytes of a body in blocks, so that many small parts cost no more than few large ones. */
final class BodyBuffer {
    private static final int FIRST_BLOCK_BYTES = 1_024;
    private static final int MAX_BLOCK_BYTES = 64 * 1024;

    private final List<byte[]> blocks = new ArrayList<>();
    private final long expectedBytes;
    private byte[] block = new byte[0];
    private int filled;
    private int size;

    /**
     * Creates an empty buffer.
     *
     * @param expectedBytes stated length of the body in bytes, or -1 if it is not known
     */
    BodyBuffer(long expectedBytes) {
        this.expectedBytes = expectedBytes;
    }

    /** Returns the number of bytes. */
    int size() {
        return size;
    }

    /**
     * Adds a part.
     *
     * @param part the bytes, which are read up to the end
     * @param reserve asked before a block of so many bytes is allocated; false if there is no room for it
     * @return false if there was no room
     */
    boolean add(ByteBuffer part, LongPredicate reserve) {
        while (part.hasRemaining()) {
            if (filled == block.length && !addBlock(reserve)) {
                return false;
            }
            int count = Math.min(part.remaining(), block.length - filled);
            part.get(block, filled, count);
            filled += count;
            size += count;
        }
        return true;
    }

    /** Returns the body and releases the blocks. */
    HttpBody toBody() {
        HttpBody body = HttpBody.join(blocks, size);
        clear();
        return body;
    }

    /** Releases the blocks; nothing may be added afterwards. */
    void clear() {
        blocks.clear();
        block = new byte[0];
    }

    private boolean addBlock(LongPredicate reserve) {
        int next = Math.max(FIRST_BLOCK_BYTES, Math.min(MAX_BLOCK_BYTES, size));
        long missing = expectedBytes - size;
        int bytes = missing > 0 ? (int) Math.min(missing, next) : next;
        if (!reserve.test(bytes)) {
            return false;
        }
        block = new byte[bytes];
        blocks.add(block);
        filled = 0;
        return true;
    }
}
