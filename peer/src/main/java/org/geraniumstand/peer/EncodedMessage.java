package org.geraniumstand.peer;

import java.util.Arrays;

/** Wraps the bytes of an encoded message, which cannot be modified. */
public final class EncodedMessage {
    private final byte[] bytes;

    private EncodedMessage(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Returns an encoded message that holds a copy of the given bytes.
     *
     * @param bytes the encoded message
     */
    public static EncodedMessage of(byte[] bytes) {
        return new EncodedMessage(bytes.clone());
    }

    /** Returns a copy of the bytes. */
    public byte[] bytes() {
        return bytes.clone();
    }

    /** Returns the size of the encoded message in bytes. */
    public int size() {
        return bytes.length;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof EncodedMessage message && Arrays.equals(bytes, message.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return "EncodedMessage[size=" + bytes.length + "]";
    }
}
