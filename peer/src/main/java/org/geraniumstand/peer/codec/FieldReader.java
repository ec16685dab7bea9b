package org.geraniumstand.peer.codec;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads a record from a MessagePack array that holds the record's fields in order.
 *
 * <p>Skips trailing fields that a later protocol level added. Reads a field that an earlier protocol level lacks as
 * zero, false or empty.
 */
public final class FieldReader {
    private final MessageUnpacker unpacker;
    private int remainingFields;

    private FieldReader(MessageUnpacker unpacker, int remainingFields) {
        this.unpacker = unpacker;
        this.remainingFields = remainingFields;
    }

    /**
     * Reads a record.
     *
     * @param unpacker positioned at the start of the record
     * @param record reads the fields of the record
     * @param <T> type of the record
     * @throws MalformedMessageException if the bytes do not encode such a record
     */
    public static <T> T read(MessageUnpacker unpacker, Function<FieldReader, T> record) {
        FieldReader reader = new FieldReader(unpacker, unpack(unpacker::unpackArrayHeader));
        T value = record.apply(reader);
        while (reader.remainingFields > 0) {
            reader.readField(() -> {
                unpacker.skipValue();
                return true;
            });
        }
        return value;
    }

    /** Reads a string. */
    public String text() {
        return remainingFields > 0 ? readField(unpacker::unpackString) : "";
    }

    /** Reads a 64-bit integer. */
    public long number() {
        return remainingFields > 0 ? readField(unpacker::unpackLong) : 0;
    }

    /** Reads a 32-bit integer. */
    public int smallNumber() {
        return remainingFields > 0 ? readField(unpacker::unpackInt) : 0;
    }

    /** Reads a boolean. */
    public boolean flag() {
        return remainingFields > 0 && readField(unpacker::unpackBoolean);
    }

    /**
     * Reads a byte array.
     *
     * @param limit maximum accepted length in bytes
     */
    public byte[] bytes(int limit) {
        return remainingFields > 0 ? readField(() -> readBytes(limit)) : new byte[0];
    }

    /**
     * Reads a nested record.
     *
     * @param record reads the fields of the nested record
     * @param <T> type of the record
     */
    public <T> T record(Function<FieldReader, T> record) {
        return readField(() -> read(unpacker, record));
    }

    /**
     * Reads a list of records.
     *
     * @param element reads the fields of an element
     * @param <T> type of the elements
     */
    public <T> List<T> list(Function<FieldReader, T> element) {
        return remainingFields > 0 ? readElements(() -> read(unpacker, element), Integer.MAX_VALUE) : List.of();
    }

    /**
     * Reads a list of 64-bit integers.
     *
     * @param limit maximum accepted number of elements
     */
    public List<Long> numbers(int limit) {
        return remainingFields > 0 ? readElements(unpacker::unpackLong, limit) : List.of();
    }

    // Grows the list as elements are read, since a length claimed by the sender must not allocate memory.
    private <T> List<T> readElements(UnpackCall<T> element, int limit) {
        return readField(() -> {
            int count = unpacker.unpackArrayHeader();
            if (count > limit) {
                throw new MalformedMessageException("list exceeds the maximum number of elements");
            }
            List<T> list = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                list.add(element.run());
            }
            return list;
        });
    }

    private byte[] readBytes(int limit) throws IOException {
        int length = unpacker.unpackBinaryHeader();
        if (length > limit) {
            throw new MalformedMessageException("byte array exceeds the maximum length");
        }
        return unpacker.readPayload(length);
    }

    private <T> T readField(UnpackCall<T> call) {
        if (remainingFields == 0) {
            throw new MalformedMessageException("required field is missing");
        }
        remainingFields--;
        return unpack(call);
    }

    private static <T> T unpack(UnpackCall<T> call) {
        try {
            return call.run();
        } catch (IOException e) {
            throw new MalformedMessageException("message is truncated", e);
        }
    }

    private interface UnpackCall<T> {
        T run() throws IOException;
    }
}
