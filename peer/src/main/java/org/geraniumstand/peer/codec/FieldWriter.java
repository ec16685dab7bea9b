package org.geraniumstand.peer.codec;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.function.BiConsumer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes records as MessagePack arrays of their fields, in order. */
public final class FieldWriter {
    private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

    /** Creates a writer without content. */
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
     * Writes a text.
     *
     * @param value the text
     */
    public FieldWriter text(String value) {
        return write(() -> packer.packString(value));
    }

    /**
     * Writes a number; small ones take fewer bytes.
     *
     * @param value the number
     */
    public FieldWriter number(long value) {
        return write(() -> packer.packLong(value));
    }

    /**
     * Writes a truth value.
     *
     * @param value the truth value
     */
    public FieldWriter flag(boolean value) {
        return write(() -> packer.packBoolean(value));
    }

    /**
     * Writes bytes.
     *
     * @param value the bytes
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
     * @param element writes an element
     * @param <T> type of the elements
     */
    public <T> FieldWriter list(List<T> list, BiConsumer<FieldWriter, T> element) {
        fields(list.size());
        list.forEach(item -> element.accept(this, item));
        return this;
    }

    /** Returns all that was written. */
    public byte[] toBytes() {
        return packer.toByteArray();
    }

    private FieldWriter write(Step step) {
        try {
            step.run();
            return this;
        } catch (IOException e) {
            throw new UncheckedIOException("a buffer in memory failed", e);
        }
    }

    private interface Step {
        void run() throws IOException;
    }
}
