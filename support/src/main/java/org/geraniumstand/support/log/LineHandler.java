package org.geraniumstand.support.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/** Writes lines to standard output on a thread of its own; those that log do not wait. */
public final class LineHandler extends Handler {
    /** Milliseconds between writes; each wake-up costs a small host processor time. */
    private static final long PAUSE_MILLIS = 100;

    private final LineRing ring = new LineRing(new FileOutputStream(FileDescriptor.out));
    private volatile boolean ending;

    /** Creates the handler; called by the platform's logging. */
    @SuppressWarnings("ShutdownHook") // Lines of the last moments would be lost otherwise.
    public LineHandler() {
        Thread thread = new Thread(this::run, "log");
        thread.setDaemon(true);
        thread.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::writeAtOnce, "log-end"));
    }

    private void run() {
        try {
            while (!ending) {
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
                ring.drain();
            }
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeAtOnce() {
        ending = true;
        ring.drain();
    }

    @Override
    public void publish(LogRecord line) {
        if (!isLoggable(line)) {
            return;
        }
        ring.offer(line.getMillis(), line.getLevel().getName(), text(line));
        if (ending) {
            ring.drain();
        }
    }

    private static String text(LogRecord line) {
        if (line.getThrown() == null) {
            return line.getMessage();
        }
        StringWriter trace = new StringWriter();
        line.getThrown().printStackTrace(new PrintWriter(trace));
        return line.getMessage() + "\n" + trace;
    }

    @Override
    public void flush() {
        ring.drain();
    }

    @Override
    public void close() {
        writeAtOnce();
    }
}
