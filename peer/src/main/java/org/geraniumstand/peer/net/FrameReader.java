package org.geraniumstand.peer.net;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;

/**
 * Cuts a stream of bytes into frames: four bytes of length in network order, then the content.
 *
 * <p>Memory grows with the bytes that arrived, never with a length that was only announced.
 */
final class FrameReader {
    private static final int HEADER_BYTES = 4;
    private static final int FIRST_BYTES = 1024;

    private final byte[] header = new byte[HEADER_BYTES];
    private int headerCount;
    private byte[] content = new byte[0];
    private int contentCount;
    private int length;
    private int limit;
    private boolean overLong;

    FrameReader(int limit) {
        this.limit = limit;
    }

    /** Sets the largest content accepted from now on, in bytes. */
    void limit(int bytes) {
        limit = bytes;
    }

    /** Returns whether a frame was longer than the limit; nothing can be read after it. */
    boolean overLong() {
        return overLong;
    }

    /** Takes bytes until a frame is whole and returns its content, or nothing if the bytes do not suffice. */
    Optional<byte[]> next(ByteBuffer bytes) {
        while (headerCount < HEADER_BYTES) {
            if (!bytes.hasRemaining()) {
                return Optional.empty();
            }
            header[headerCount] = bytes.get();
            headerCount++;
            if (headerCount == HEADER_BYTES) {
                length = ByteBuffer.wrap(header).getInt();
                contentCount = 0;
                content = new byte[0];
            }
        }
        if (length < 0 || length > limit) {
            overLong = true;
            return Optional.empty();
        }
        int count = Math.min(bytes.remaining(), length - contentCount);
        if (contentCount + count > content.length) {
            int size = Math.max(contentCount + count, Math.max(FIRST_BYTES, 2 * content.length));
            content = Arrays.copyOf(content, Math.min(length, size));
        }
        bytes.get(content, contentCount, count);
        contentCount += count;
        if (contentCount < length) {
            return Optional.empty();
        }
        headerCount = 0;
        byte[] whole = content.length == length ? content : Arrays.copyOf(content, length);
        content = new byte[0];
        return Optional.of(whole);
    }

    static ByteBuffer frame(byte[] content) {
        return ByteBuffer.allocate(HEADER_BYTES + content.length)
                .putInt(content.length)
                .put(content)
                .flip();
    }
}
