package org.geraniumstand.peer.codec;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads one record from a MessagePack array of its fields, in order.
 *
 * <p>Fields that a later protocol level added at the end are skipped. A field that an earlier level lacks is read as
 * zero, false or empty.
 */
public final class FieldReader {
    private final MessageUnpacker unpacker;
    private int left;

    private FieldReader(MessageUnpacker unpacker, int left) {
        this.unpacker = unpacker;
        this.left = left;
    }

    /**
     * Reads a record.
     *
     * @param unpacker where it stands
     * @param record reads its fields
     * @param <T> type of the record
     * @throws MalformedMessageException if the bytes are no such record
     */
    public static <T> T read(MessageUnpacker unpacker, Function<FieldReader, T> record) {
        FieldReader reader = new FieldReader(unpacker, take(unpacker::unpackArrayHeader));
        T value = record.apply(reader);
        while (reader.left > 0) {
            reader.next(() -> {
                unpacker.skipValue();
                return true;
            });
        }
        return value;
    }

    /** Reads a text. */
    public String text() {
        return left > 0 ? next(unpacker::unpackString) : "";
    }

    /** Reads a number. */
    public long number() {
        return left > 0 ? next(unpacker::unpackLong) : 0;
    }

    /** Reads a number that fits 32 bits. */
    public int smallNumber() {
        return left > 0 ? next(unpacker::unpackInt) : 0;
    }

    /** Reads a truth value. */
    public boolean flag() {
        return left > 0 && next(unpacker::unpackBoolean);
    }

    /**
     * Reads bytes.
     *
     * @param limit largest number of bytes accepted
     */
    public byte[] bytes(int limit) {
        return left > 0 ? next(() -> payload(limit)) : new byte[0];
    }

    /**
     * Reads a record within this one.
     *
     * @param record reads its fields
     * @param <T> type of the record
     */
    public <T> T record(Function<FieldReader, T> record) {
        return next(() -> read(unpacker, record));
    }

    /**
     * Reads a list of records.
     *
     * @param element reads the fields of an element
     * @param <T> type of the elements
     */
    public <T> List<T> list(Function<FieldReader, T> element) {
        return left > 0 ? elements(() -> read(unpacker, element), Integer.MAX_VALUE) : List.of();
    }

    /**
     * Reads a list of numbers.
     *
     * @param limit largest number of elements accepted
     */
    public List<Long> numbers(int limit) {
        return left > 0 ? elements(unpacker::unpackLong, limit) : List.of();
    }

    // The list grows as elements are read, as a length in the frame must not reserve memory.
    private <T> List<T> elements(Step<T> element, int limit) {
        return next(() -> {
            int count = unpacker.unpackArrayHeader();
            if (count > limit) {
                throw new MalformedMessageException("a list is too long");
            }
            List<T> list = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                list.add(element.run());
            }
            return list;
        });
    }

    private byte[] payload(int limit) throws IOException {
        int length = unpacker.unpackBinaryHeader();
        if (length > limit) {
            throw new MalformedMessageException("a field is too long");
        }
        return unpacker.readPayload(length);
    }

    private <T> T next(Step<T> step) {
        if (left == 0) {
            throw new MalformedMessageException("a field is missing");
        }
        left--;
        return take(step);
    }

    private static <T> T take(Step<T> step) {
        try {
            return step.run();
        } catch (IOException e) {
            throw new MalformedMessageException("the bytes end early", e);
        }
    }

    private interface Step<T> {
        T run() throws IOException;
    }
}
