package org.geraniumstand.peer.codec;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.function.BiConsumer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes records as MessagePack arrays that hold the record's fields in order. */
public final class FieldWriter {
    private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

    /** Creates an empty writer. */
    public FieldWriter() {}

    /**
     * Starts a record.
     *
     * @param count number of fields that follow
     */
    public FieldWriter fields(int count) {
        return write(() -> packer.packArrayHeader(count));
    }

    /**
     * Writes a string.
     *
     * @param value the string
     */
    public FieldWriter text(String value) {
        return write(() -> packer.packString(value));
    }

    /**
     * Writes an integer in a variable-length encoding; small values take fewer bytes.
     *
     * @param value the integer
     */
    public FieldWriter number(long value) {
        return write(() -> packer.packLong(value));
    }

    /**
     * Writes a boolean.
     *
     * @param value the boolean
     */
    public FieldWriter flag(boolean value) {
        return write(() -> packer.packBoolean(value));
    }

    /**
     * Writes a byte array.
     *
     * @param value the byte array
     */
    public FieldWriter bytes(byte[] value) {
        return write(() -> {
            packer.packBinaryHeader(value.length);
            packer.writePayload(value);
        });
    }

    /**
     * Writes a list.
     *
     * @param list the list
     * @param element writes one element
     * @param <T> type of the elements
     */
    public <T> FieldWriter list(List<T> list, BiConsumer<FieldWriter, T> element) {
        fields(list.size());
        list.forEach(item -> element.accept(this, item));
        return this;
    }

    /** Returns the encoded bytes. */
    public byte[] toBytes() {
        return packer.toByteArray();
    }

    private FieldWriter write(PackCall call) {
        try {
            call.run();
            return this;
        } catch (IOException e) {
            throw new UncheckedIOException("writing to an in-memory buffer failed", e);
        }
    }

    private interface PackCall {
        void run() throws IOException;
    }
}
