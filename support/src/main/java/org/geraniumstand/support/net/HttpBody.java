package org.geraniumstand.support.net;

import java.io.ByteArrayInputStream;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/** Holds the immutable bytes of a request or response body. */
public final class HttpBody {
    /** An empty body. */
    public static final HttpBody EMPTY = new HttpBody(new byte[0]);

    private final byte[] bytes;

    private HttpBody(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Returns a body that contains a copy of an array.
     *
     * @param bytes array to copy
     */
    public static HttpBody of(byte[] bytes) {
        return new HttpBody(bytes.clone());
    }

    /**
     * Returns a body that contains the first bytes of several parts, which are copied once.
     *
     * @param parts the parts in order
     * @param size number of bytes, at most as many as the parts have
     */
    public static HttpBody join(List<byte[]> parts, int size) {
        byte[] joined = new byte[size];
        int filled = 0;
        for (byte[] part : parts) {
            int count = Math.min(part.length, size - filled);
            System.arraycopy(part, 0, joined, filled, count);
            filled += count;
        }
        return new HttpBody(joined);
    }

    /**
     * Returns a body that contains a text encoded as UTF-8.
     *
     * @param text text to encode
     */
    public static HttpBody of(String text) {
        return new HttpBody(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the number of bytes. */
    public int size() {
        return bytes.length;
    }

    /** Returns a read-only view of the bytes. */
    public ByteBuffer buffer() {
        return ByteBuffer.wrap(bytes).asReadOnlyBuffer();
    }

    /** Returns an input stream that reads the bytes. */
    public InputStream stream() {
        return new ByteArrayInputStream(bytes);
    }

    /** Returns the bytes decoded as UTF-8. */
    public String text() {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof HttpBody body && Arrays.equals(bytes, body.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return "HttpBody[size=" + bytes.length + "]";
    }
}
