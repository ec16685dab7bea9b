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

/** Keeps lines until one thread writes them, so that whoever logs never waits; lines that find no room are counted. */
final class LineRing {
    /** Lines that wait at most; about ten seconds of a busy process. */
    private static final int CAPACITY = 4_096;

    private static final long MILLIS_IN_SECOND = 1_000;
    private static final String UTC = "+0000";

    private final RingBuffer<Slot> ring = RingBuffer.createMultiProducer(Slot::new, CAPACITY);
    private final EventPoller<Slot> poller = ring.newPoller();
    private final PrintStream out;
    private final LineBudget budget = new LineBudget();
    private final AtomicLong dropped = new AtomicLong();
    private final DateTimeFormatter seconds =
            DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss", Locale.ROOT).withZone(ZoneOffset.UTC);
    private final StringBuilder text = new StringBuilder();
    private long second = Long.MIN_VALUE;
    private String secondText = "";

    private static final class Slot {
        private long atMillis;
        private String level = "";
        private String line = "";
    }

    /**
     * Creates an empty ring.
     *
     * @param out where lines go
     */
    LineRing(OutputStream out) {
        this.out = new PrintStream(out, false, StandardCharsets.UTF_8);
        ring.addGatingSequences(poller.getSequence());
    }

    /**
     * Takes a line if there is room; may be called by any thread and does not wait.
     *
     * @param atMillis the wall clock, in milliseconds
     * @param level its level
     * @param line its text
     */
    void offer(long atMillis, String level, String line) {
        long sequence;
        try {
            sequence = ring.tryNext();
        } catch (InsufficientCapacityException _e) {
            dropped.incrementAndGet();
            return;
        }
        Slot slot = ring.get(sequence);
        slot.atMillis = atMillis;
        slot.level = level;
        slot.line = line;
        ring.publish(sequence);
    }

    /** Writes the lines that wait. */
    synchronized void drain() {
        try {
            poller.poll((slot, _sequence, _last) -> {
                write(slot);
                return true;
            });
        } catch (Exception e) {
            // The handler throws nothing; the library's signature says that it may.
            throw new IllegalStateException(e);
        }
        noteMissing();
        if (text.length() > 0) {
            out.print(text);
            out.flush();
            text.setLength(0);
        }
    }

    private void write(Slot slot) {
        boolean important = !slot.level.equals("INFO");
        if (budget.allows(event(slot.line), slot.atMillis) || important) {
            append(slot.atMillis, slot.level, slot.line);
        }
        slot.line = "";
    }

    private static String event(String line) {
        int end = line.indexOf(' ');
        return end < 0 ? line : line.substring(0, end);
    }

    private void noteMissing() {
        long now = System.currentTimeMillis();
        long none = dropped.getAndSet(0);
        if (none > 0) {
            append(now, "WARNING", "event=lines-dropped count=" + none);
        }
        if (now / MILLIS_IN_SECOND != second) {
            budget.takeLeftOut()
                    .forEach((event, count) -> append(
                            now, "INFO", "event=lines-left-out of=" + event.replace("event=", "") + " count=" + count));
        }
    }

    private void append(long atMillis, String level, String line) {
        long next = Math.floorDiv(atMillis, MILLIS_IN_SECOND);
        if (next != second) {
            second = next;
            secondText = seconds.format(Instant.ofEpochSecond(next));
        }
        long millis = Math.floorMod(atMillis, MILLIS_IN_SECOND);
        text.append("time=").append(secondText).append(millis < 100 ? millis < 10 ? ".00" : ".0" : ".");
        text.append(millis).append(UTC).append(" level=").append(level);
        text.append(' ').append(line).append('\n');
    }
}
