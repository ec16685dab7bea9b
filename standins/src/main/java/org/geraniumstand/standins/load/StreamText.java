package org.geraniumstand.standins.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.geraniumstand.support.json.Json;

/** Puts the events of a stream together, over all connections that carried them. */
final class StreamText {
    private static final String ID = "id:";
    private static final String DATA = "data:";

    private final StringBuilder text = new StringBuilder();
    private final long startNanos = System.nanoTime();
    private long lastId;
    private long nextId;
    private long firstMillis = -1;
    private boolean done;
    private String fault = "";

    synchronized void onLine(String line) {
        if (line.startsWith(ID)) {
            nextId = Long.parseLong(line.substring(ID.length()).strip());
        } else if (line.startsWith(DATA)) {
            onData(line.substring(DATA.length()).strip());
        }
    }

    synchronized void clear() {
        text.setLength(0);
        lastId = 0;
        done = false;
        fault = "";
    }

    synchronized String text() {
        return text.toString();
    }

    synchronized long lastId() {
        return lastId;
    }

    synchronized long firstMillis() {
        return firstMillis;
    }

    synchronized boolean done() {
        return done;
    }

    synchronized String fault() {
        return fault;
    }

    private void onData(String data) {
        if (nextId != lastId + 1 && fault.isEmpty()) {
            fault = "event " + nextId + " after " + lastId;
        }
        lastId = nextId;
        if (data.equals("[DONE]")) {
            done = true;
            return;
        }
        try {
            String content = Json.LENIENT
                    .readTree(data)
                    .path("choices")
                    .path(0)
                    .path("delta")
                    .path("content")
                    .asText("");
            if (!content.isEmpty() && firstMillis < 0) {
                firstMillis = (System.nanoTime() - startNanos) / 1_000_000;
            }
            text.append(content);
        } catch (JsonProcessingException _e) {
            fault = "event " + nextId + " is not JSON";
        }
    }
}
