package org.geraniumstand.http.opaque;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits the bytes of a server-sent event stream at the ends of events and leaves out events that are out of order; the bytes
 * of all others are unchanged.
 *
 * <p>Source: WHATWG HTML, "Server-sent events". An event ends with an empty line; empty lines outside an event are no event.
 */
final class EventSplitter {
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.UTF_8);
    private static final byte[] DATA_FIELD = "data".getBytes(StandardCharsets.UTF_8);

    private final EventOrder order;
    private final OutOfOrderListener listener;
    private byte[] incomplete = new byte[0];
    private int size;
    private int lineStart;
    private boolean hasLine;
    private boolean hasData;
    private boolean brokenOff;
    private Optional<String> incompleteId = Optional.empty();

    /** Is told of the events that do not continue what the caller has received. */
    @FunctionalInterface
    interface OutOfOrderListener {
        /**
         * Called for an event before its bytes are returned.
         *
         * @param id the id of the event, if it has one
         * @param verdict what the order of the stream requires
         */
        void onOutOfOrder(Optional<String> id, EventOrder.Verdict verdict);
    }

    /**
     * Creates a splitter.
     *
     * @param order the order of the stream's events
     * @param listener is told of the events that are out of order
     */
    EventSplitter(EventOrder order, OutOfOrderListener listener) {
        this.order = order;
        this.listener = listener;
    }

    /** Discards the bytes after the last complete event and starts a run at another server. */
    void startRun() {
        discardIncomplete();
        brokenOff = false;
        order.startRun();
    }

    /** Returns the id of the last event that was returned. */
    Optional<String> lastId() {
        return order.lastId();
    }

    /** Returns whether the run has sent an event that does not continue the stream; no more bytes are returned then. */
    boolean brokenOff() {
        return brokenOff;
    }

    /** Returns the number of bytes after the last complete event. */
    int incompleteBytes() {
        return size;
    }

    /** Returns whether an event has begun and is not complete. */
    boolean insideEvent() {
        return hasLine || !isEmptyLine(size);
    }

    /** Adds bytes and returns those of all events that are now complete and in order, or an empty array if none is. */
    byte[] accept(ByteBuffer bytes) {
        int from = size;
        append(bytes);
        int inOrder = 0;
        int start = 0;
        for (int i = from; i < size && !brokenOff; i++) {
            if (incomplete[i] == '\n' && endsEvent(i)) {
                int next = i + 1;
                if (endEvent(start, next) == EventOrder.Verdict.RELAY) {
                    // Moves the event up to the previous one that is in order.
                    System.arraycopy(incomplete, start, incomplete, inOrder, next - start);
                    inOrder += next - start;
                }
                start = next;
            }
        }
        byte[] complete = Arrays.copyOf(incomplete, inOrder);
        if (brokenOff) {
            discardIncomplete();
        } else if (start > 0) {
            removePrefix(start);
        }
        return complete;
    }

    /** Removes and returns the bytes after the last complete event. */
    byte[] takeRest() {
        byte[] rest = Arrays.copyOf(incomplete, size);
        discardIncomplete();
        return rest;
    }

    /** Discards the bytes after the last complete event. */
    void discardIncomplete() {
        size = 0;
        lineStart = 0;
        hasLine = false;
        hasData = false;
        incompleteId = Optional.empty();
    }

    private void append(ByteBuffer bytes) {
        int count = bytes.remaining();
        if (size + count > incomplete.length) {
            incomplete = Arrays.copyOf(incomplete, Math.max(size + count, 2 * incomplete.length));
        }
        bytes.get(incomplete, size, count);
        size += count;
    }

    private void removePrefix(int count) {
        size -= count;
        System.arraycopy(incomplete, count, incomplete, 0, size);
        lineStart -= count;
    }

    private boolean endsEvent(int lineFeed) {
        boolean emptyLine = isEmptyLine(lineFeed);
        boolean ends = emptyLine && hasLine;
        if (!emptyLine) {
            readId(lineFeed);
            hasData |= isData(lineFeed);
        }
        hasLine = !emptyLine;
        lineStart = lineFeed + 1;
        return ends;
    }

    private EventOrder.Verdict endEvent(int start, int end) {
        EventOrder.Verdict verdict =
                order.onEvent(incompleteId, hasData, () -> RelayedEvents.hash(incomplete, skipEmptyLines(start), end));
        if (verdict != EventOrder.Verdict.RELAY) {
            listener.onOutOfOrder(incompleteId, verdict);
        }
        brokenOff = verdict == EventOrder.Verdict.BREAK_OFF;
        incompleteId = Optional.empty();
        hasData = false;
        return verdict;
    }

    /** Returns the index of the first byte that is no part of an empty line; an event has one. */
    private int skipEmptyLines(int start) {
        int index = start;
        while (incomplete[index] == '\n' || incomplete[index] == '\r') {
            index++;
        }
        return index;
    }

    private boolean isEmptyLine(int end) {
        return end == lineStart || (end == lineStart + 1 && incomplete[lineStart] == '\r');
    }

    private void readId(int end) {
        int start = lineStart + ID_FIELD.length;
        if (start <= end && Arrays.equals(incomplete, lineStart, start, ID_FIELD, 0, ID_FIELD.length)) {
            incompleteId = Optional.of(new String(incomplete, start, end - start, StandardCharsets.UTF_8).trim());
        }
    }

    private boolean isData(int end) {
        int next = lineStart + DATA_FIELD.length;
        return next <= end
                && Arrays.equals(incomplete, lineStart, next, DATA_FIELD, 0, DATA_FIELD.length)
                && (incomplete[next] == ':' || incomplete[next] == '\r' || incomplete[next] == '\n');
    }
}
