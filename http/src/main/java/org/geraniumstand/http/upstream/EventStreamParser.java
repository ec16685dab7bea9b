package org.geraniumstand.http.upstream;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;
import org.geraniumstand.support.net.AnswerLimits;

/**
 * Extracts the data of the events from a server-sent event stream; not thread-safe.
 *
 * <p>Source: WHATWG HTML, "Server-sent events".
 */
public final class EventStreamParser {
    private static final int INITIAL_LINE_BYTES = 512;
    private static final String DATA = "data:";

    private final StringBuilder data = new StringBuilder();
    private final Consumer<String> onData;
    private byte[] line = new byte[INITIAL_LINE_BYTES];
    private int length;
    private int bytesSinceEvent;

    /**
     * Creates a parser.
     *
     * @param onData called with the data of each complete event
     */
    public EventStreamParser(Consumer<String> onData) {
        this.onData = onData;
    }

    /**
     * Returns whether more than {@link AnswerLimits#MAX_INCOMPLETE_BYTES} arrived without completing an event; the parser then
     * ignores all further bytes.
     */
    public boolean tooLarge() {
        return bytesSinceEvent > AnswerLimits.MAX_INCOMPLETE_BYTES;
    }

    /**
     * Parses the next bytes of the stream.
     *
     * @param bytes the next bytes
     */
    public void accept(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            bytesSinceEvent++;
            if (tooLarge()) {
                return;
            }
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
    }

    private void endEvent() {
        if (data.length() > 0) {
            String event = data.toString();
            data.setLength(0);
            bytesSinceEvent = 0;
            onData.accept(event);
        }
    }
}
