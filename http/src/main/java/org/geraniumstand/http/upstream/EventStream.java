package org.geraniumstand.http.upstream;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Cuts the bytes of a server-sent event stream into events; not thread-safe. */
public final class EventStream {
    private static final String DATA = "data:";

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    private final Consumer<String> onData;

    /**
     * Creates a cutter.
     *
     * @param onData told the data of each event
     */
    public EventStream(Consumer<String> onData) {
        this.onData = onData;
    }

    /**
     * Takes in more bytes.
     *
     * @param bytes the bytes
     */
    public void accept(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            if (next == '\n') {
                endLine();
            } else if (next != '\r') {
                line.write(next);
            }
        }
    }

    private void endLine() {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (text.isEmpty()) {
            endEvent();
        } else if (text.startsWith(DATA)) {
            if (data.length() > 0) {
                data.append('\n');
            }
            data.append(text.substring(DATA.length()).stripLeading());
        }
    }

    private void endEvent() {
        if (data.length() > 0) {
            String event = data.toString();
            data.setLength(0);
            onData.accept(event);
        }
    }
}
