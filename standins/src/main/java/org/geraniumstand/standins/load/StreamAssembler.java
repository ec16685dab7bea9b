package org.geraniumstand.standins.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.geraniumstand.support.json.Json;

/** Reassembles the text of a stream from the events of all its connections. */
final class StreamAssembler {
    private static final String ID_PREFIX = "id:";
    private static final String DATA_PREFIX = "data:";

    private final StringBuilder text = new StringBuilder();
    private final long startNanos = System.nanoTime();
    private long lastId;
    private long nextId;
    private long firstMillis = -1;
    private boolean done;
    private String fault = "";

    synchronized void onLine(String line) {
        if (line.startsWith(ID_PREFIX)) {
            nextId = Long.parseLong(line.substring(ID_PREFIX.length()).strip());
        } else if (line.startsWith(DATA_PREFIX)) {
            onData(line.substring(DATA_PREFIX.length()).strip());
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
            fault = "event " + nextId + " received after event " + lastId;
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
