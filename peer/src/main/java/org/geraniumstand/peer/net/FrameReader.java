package org.geraniumstand.peer.net;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a byte stream into frames, each of which is a four-byte length in network byte order and the content.
 *
 * <p>Allocates memory in proportion to the bytes received, not to the length that a frame header announces.
 */
final class FrameReader {
    private static final int HEADER_BYTES = 4;
    private static final int INITIAL_CAPACITY_BYTES = 1024;

    private final byte[] header = new byte[HEADER_BYTES];
    private int headerBytesRead;
    private byte[] content = new byte[0];
    private int contentBytesRead;
    private int length;
    private int limit;
    private boolean oversized;

    FrameReader(int limit) {
        this.limit = limit;
    }

    /** Sets the maximum content length of subsequent frames, in bytes. */
    void limit(int bytes) {
        limit = bytes;
    }

    /** Returns whether a frame exceeded the limit; no further frame can be read after that. */
    boolean oversized() {
        return oversized;
    }

    /** Consumes bytes until a frame is complete; returns its content, or empty if more bytes are needed. */
    Optional<byte[]> next(ByteBuffer bytes) {
        while (headerBytesRead < HEADER_BYTES) {
            if (!bytes.hasRemaining()) {
                return Optional.empty();
            }
            header[headerBytesRead] = bytes.get();
            headerBytesRead++;
            if (headerBytesRead == HEADER_BYTES) {
                length = ByteBuffer.wrap(header).getInt();
                contentBytesRead = 0;
                content = new byte[0];
            }
        }
        if (length < 0 || length > limit) {
            oversized = true;
            return Optional.empty();
        }
        int count = Math.min(bytes.remaining(), length - contentBytesRead);
        if (contentBytesRead + count > content.length) {
            int size = Math.max(contentBytesRead + count, Math.max(INITIAL_CAPACITY_BYTES, 2 * content.length));
            content = Arrays.copyOf(content, Math.min(length, size));
        }
        bytes.get(content, contentBytesRead, count);
        contentBytesRead += count;
        if (contentBytesRead < length) {
            return Optional.empty();
        }
        headerBytesRead = 0;
        byte[] complete = content.length == length ? content : Arrays.copyOf(content, length);
        content = new byte[0];
        return Optional.of(complete);
    }

    static ByteBuffer frame(byte[] content) {
        return ByteBuffer.allocate(HEADER_BYTES + content.length)
                .putInt(content.length)
                .put(content)
                .flip();
    }
}
