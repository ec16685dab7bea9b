package org.geraniumstand.http.opaque;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits the bytes of a server-sent event stream at the ends of events without changing any byte.
 *
 * <p>Source: WHATWG HTML, "Server-sent events". An event ends with an empty line.
 */
final class EventSplitter {
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream incomplete = new ByteArrayOutputStream();
    private Optional<String> lastId;
    private Optional<String> incompleteId = Optional.empty();
    private int lineStart;

    /** Creates a splitter for a caller that already received the events up to this id. */
    EventSplitter(Optional<String> lastId) {
        this.lastId = lastId;
    }

    /** Returns the id of the last complete event. */
    Optional<String> lastId() {
        return lastId;
    }

    /** Returns the number of bytes after the last complete event. */
    int incompleteBytes() {
        return incomplete.size();
    }

    /** Adds bytes and returns those of all events that are now complete, or an empty array if none is. */
    byte[] accept(ByteBuffer bytes) {
        int from = incomplete.size();
        byte[] part = new byte[bytes.remaining()];
        bytes.get(part);
        incomplete.write(part, 0, part.length);
        if (!hasLineFeed(part)) {
            // Without a line feed no event ends, and copying the growing buffer for each part would take quadratic
            // time.
            return new byte[0];
        }
        byte[] all = incomplete.toByteArray();
        int completeBytes = 0;
        for (int i = from; i < all.length; i++) {
            if (all[i] == '\n' && endsEvent(all, i)) {
                completeBytes = i + 1;
            }
        }
        return completeBytes == 0 ? new byte[0] : removePrefix(all, completeBytes);
    }

    private static boolean hasLineFeed(byte[] part) {
        for (byte value : part) {
            if (value == '\n') {
                return true;
            }
        }
        return false;
    }

    /** Discards the bytes after the last complete event. */
    void discardIncomplete() {
        incomplete.reset();
        lineStart = 0;
        incompleteId = Optional.empty();
    }

    private byte[] removePrefix(byte[] all, int count) {
        incomplete.reset();
        incomplete.write(all, count, all.length - count);
        lineStart -= count;
        return Arrays.copyOf(all, count);
    }

    private boolean endsEvent(byte[] all, int lineFeed) {
        int end = lineFeed > lineStart && all[lineFeed - 1] == '\r' ? lineFeed - 1 : lineFeed;
        String line = new String(all, lineStart, end - lineStart, StandardCharsets.UTF_8);
        lineStart = lineFeed + 1;
        if (line.startsWith(ID_FIELD)) {
            incompleteId = Optional.of(line.substring(ID_FIELD.length()).trim());
        }
        if (!line.isEmpty()) {
            return false;
        }
        lastId = incompleteId.or(() -> lastId);
        incompleteId = Optional.empty();
        return true;
    }
}
