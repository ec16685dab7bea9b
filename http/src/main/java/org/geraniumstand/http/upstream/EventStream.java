package org.geraniumstand.http.upstream;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Cuts the bytes of a server-sent event stream into events; not thread-safe.
 *
 * <p>Source: WHATWG HTML, "Server-sent events".
 */
public final class EventStream {
    /** Largest event that is accepted, in bytes. */
    public static final int MAX_EVENT_BYTES = 1024 * 1024;

    private static final int FIRST_BYTES = 512;
    private static final String DATA = "data:";

    private final StringBuilder data = new StringBuilder();
    private final Consumer<String> onData;
    private byte[] line = new byte[FIRST_BYTES];
    private int length;
    private boolean tooLarge;

    /**
     * Creates a cutter.
     *
     * @param onData told the data of each event
     */
    public EventStream(Consumer<String> onData) {
        this.onData = onData;
    }

    /** Returns whether an event was larger than is accepted; nothing more is read then. */
    public boolean tooLarge() {
        return tooLarge;
    }

    /**
     * Takes in more bytes.
     *
     * @param bytes the bytes
     */
    public void accept(ByteBuffer bytes) {
        while (bytes.hasRemaining() && !tooLarge) {
            byte next = bytes.get();
            if (next == '\n') {
                endLine();
            } else {
                append(next);
            }
        }
    }

    private void append(byte next) {
        if (length == line.length) {
            if (length + data.length() >= MAX_EVENT_BYTES) {
                tooLarge = true;
                return;
            }
            line = Arrays.copyOf(line, length * 2);
        }
        line[length] = next;
        length++;
    }

    private void endLine() {
        int end = length > 0 && line[length - 1] == '\r' ? length - 1 : length;
        String text = new String(line, 0, end, StandardCharsets.UTF_8);
        length = 0;
        if (text.isEmpty()) {
            endEvent();
        } else if (text.startsWith(DATA)) {
            appendData(text);
        }
    }

    private void appendData(String text) {
        if (data.length() > 0) {
            data.append('\n');
        }
        int start = text.startsWith(" ", DATA.length()) ? DATA.length() + 1 : DATA.length();
        data.append(text, start, text.length());
        tooLarge = data.length() > MAX_EVENT_BYTES;
    }

    private void endEvent() {
        if (data.length() > 0) {
            String event = data.toString();
            data.setLength(0);
            onData.accept(event);
        }
    }
}
