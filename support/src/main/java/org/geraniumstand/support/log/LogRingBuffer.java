package org.geraniumstand.support.log;

import com.lmax.disruptor.EventPoller;
import com.lmax.disruptor.InsufficientCapacityException;
import com.lmax.disruptor.RingBuffer;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Buffers log lines until one thread writes them, so that logging threads never block; counts lines dropped when full.
 */
final class LogRingBuffer {
    /** Maximum number of buffered lines, about ten seconds of log output of a busy process. */
    private static final int CAPACITY = 4_096;

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final String UTC = "+0000";

    private final RingBuffer<Slot> slots = RingBuffer.createMultiProducer(Slot::new, CAPACITY);
    private final EventPoller<Slot> poller = slots.newPoller();
    private final PrintStream out;
    private final LogRateLimiter rateLimiter = new LogRateLimiter();
    private final AtomicLong dropped = new AtomicLong();
    private final DateTimeFormatter secondFormat =
            DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss", Locale.ROOT).withZone(ZoneOffset.UTC);
    private final StringBuilder output = new StringBuilder();
    private long currentSecond = Long.MIN_VALUE;
    private String formattedSecond = "";

    private static final class Slot {
        private long atMillis;
        private String level = "";
        private String line = "";
    }

    /**
     * Creates an empty buffer.
     *
     * @param out stream that receives the lines
     */
    LogRingBuffer(OutputStream out) {
        this.out = new PrintStream(out, false, StandardCharsets.UTF_8);
        slots.addGatingSequences(poller.getSequence());
    }

    /**
     * Adds a line, or counts it as dropped if the buffer is full; may be called by any thread and does not block.
     *
     * @param atMillis wall clock time of the line, in milliseconds since 1970
     * @param level name of the log level
     * @param line text of the line
     */
    void offer(long atMillis, String level, String line) {
        long sequence;
        try {
            sequence = slots.tryNext();
        } catch (InsufficientCapacityException _e) {
            dropped.incrementAndGet();
            return;
        }
        Slot slot = slots.get(sequence);
        slot.atMillis = atMillis;
        slot.level = level;
        slot.line = line;
        slots.publish(sequence);
    }

    /** Writes the buffered lines and the counts of dropped and suppressed lines. */
    synchronized void drain() {
        try {
            poller.poll((slot, _sequence, _last) -> {
                write(slot);
                return true;
            });
        } catch (Exception e) {
            // The handler throws no exception; the library's method signature declares one.
            throw new IllegalStateException(e);
        }
        reportMissingLines();
        if (output.length() > 0) {
            out.print(output);
            out.flush();
            output.setLength(0);
        }
    }

    private void write(Slot slot) {
        boolean aboveInfo = !slot.level.equals("INFO");
        if (rateLimiter.tryAcquire(eventOf(slot.line), slot.atMillis) || aboveInfo) {
            append(slot.atMillis, slot.level, slot.line);
        }
        slot.line = "";
    }

    private static String eventOf(String line) {
        int end = line.indexOf(' ');
        return end < 0 ? line : line.substring(0, end);
    }

    private void reportMissingLines() {
        long now = System.currentTimeMillis();
        long droppedCount = dropped.getAndSet(0);
        if (droppedCount > 0) {
            append(now, "WARNING", "event=lines-dropped count=" + droppedCount);
        }
        if (now / MILLIS_PER_SECOND != currentSecond) {
            rateLimiter
                    .takeSuppressed()
                    .forEach((event, count) -> append(
                            now, "INFO", "event=lines-left-out of=" + event.replace("event=", "") + " count=" + count));
        }
    }

    private void append(long atMillis, String level, String line) {
        long next = Math.floorDiv(atMillis, MILLIS_PER_SECOND);
        if (next != currentSecond) {
            currentSecond = next;
            formattedSecond = secondFormat.format(Instant.ofEpochSecond(next));
        }
        long millis = Math.floorMod(atMillis, MILLIS_PER_SECOND);
        output.append("time=").append(formattedSecond).append(millis < 100 ? millis < 10 ? ".00" : ".0" : ".");
        output.append(millis).append(UTC).append(" level=").append(level);
        output.append(' ').append(line).append('\n');
    }
}
