package org.geraniumstand.support.net;

import java.io.ByteArrayInputStream;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** The immutable bytes of a request or an answer. */
public final class HttpBody {
    /** A body without bytes. */
    public static final HttpBody EMPTY = new HttpBody(new byte[0]);

    private final byte[] bytes;

    private HttpBody(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Returns a body with a copy of some bytes.
     *
     * @param bytes the bytes
     */
    public static HttpBody of(byte[] bytes) {
        return new HttpBody(bytes.clone());
    }

    /**
     * Returns a body with a text in UTF-8.
     *
     * @param text the text
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

    /** Returns a stream over the bytes. */
    public InputStream stream() {
        return new ByteArrayInputStream(bytes);
    }

    /** Returns the bytes as text in UTF-8. */
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
