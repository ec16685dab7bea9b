package org.geraniumstand.http.opaque;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Cuts the bytes of a server-sent event stream at the ends of events, without changing a byte.
 *
 * <p>Source: WHATWG HTML, "Server-sent events". An event ends with an empty line.
 */
final class EventCutter {
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream open = new ByteArrayOutputStream();
    private Optional<String> lastId;
    private Optional<String> openId = Optional.empty();
    private int lineStart;

    /** Creates a cutter; the caller has the event with this id and those before it. */
    EventCutter(Optional<String> lastId) {
        this.lastId = lastId;
    }

    /** Returns the id of the last whole event. */
    Optional<String> lastId() {
        return lastId;
    }

    /** Returns how many bytes came after the last whole event. */
    int openBytes() {
        return open.size();
    }

    /** Takes in bytes and returns those of the events that are whole now, none if none is. */
    byte[] accept(ByteBuffer bytes) {
        int from = open.size();
        byte[] part = new byte[bytes.remaining()];
        bytes.get(part);
        open.write(part, 0, part.length);
        if (!hasLineFeed(part)) {
            // Nothing can have ended; copying all that is open for each part would take ever longer.
            return new byte[0];
        }
        byte[] all = open.toByteArray();
        int whole = 0;
        for (int i = from; i < all.length; i++) {
            if (all[i] == '\n' && endsEvent(all, i)) {
                whole = i + 1;
            }
        }
        return whole == 0 ? new byte[0] : take(all, whole);
    }

    private static boolean hasLineFeed(byte[] part) {
        for (byte one : part) {
            if (one == '\n') {
                return true;
            }
        }
        return false;
    }

    /** Returns the bytes after the last whole event and forgets them. */
    byte[] rest() {
        byte[] rest = open.toByteArray();
        forget();
        return rest;
    }

    /** Forgets the bytes after the last whole event. */
    void forget() {
        open.reset();
        lineStart = 0;
        openId = Optional.empty();
    }

    private byte[] take(byte[] all, int count) {
        open.reset();
        open.write(all, count, all.length - count);
        lineStart -= count;
        return Arrays.copyOf(all, count);
    }

    private boolean endsEvent(byte[] all, int lineFeed) {
        int end = lineFeed > lineStart && all[lineFeed - 1] == '\r' ? lineFeed - 1 : lineFeed;
        String line = new String(all, lineStart, end - lineStart, StandardCharsets.UTF_8);
        lineStart = lineFeed + 1;
        if (line.startsWith(ID_FIELD)) {
            openId = Optional.of(line.substring(ID_FIELD.length()).trim());
        }
        if (!line.isEmpty()) {
            return false;
        }
        lastId = openId.or(() -> lastId);
        openId = Optional.empty();
        return true;
    }
}
