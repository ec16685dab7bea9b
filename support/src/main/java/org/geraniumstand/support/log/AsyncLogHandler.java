package org.geraniumstand.support.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/** Writes log lines to standard output on a dedicated thread, so that logging threads never block. */
public final class AsyncLogHandler extends Handler {
    /** Interval between writes; shorter intervals wake the thread more often, which costs CPU time on a small host. */
    private static final long FLUSH_INTERVAL_MILLIS = 100;

    private final LogRingBuffer buffer = new LogRingBuffer(new FileOutputStream(FileDescriptor.out));
    private volatile boolean closing;

    /** Creates the handler and starts its thread; called by {@code java.util.logging}. */
    @SuppressWarnings("ShutdownHook") // Lines that are still buffered at shutdown would otherwise be lost.
    public AsyncLogHandler() {
        Thread thread = new Thread(this::drainPeriodically, "log");
        thread.setDaemon(true);
        thread.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::closeAndDrain, "log-end"));
    }

    private void drainPeriodically() {
        try {
            while (!closing) {
                TimeUnit.MILLISECONDS.sleep(FLUSH_INTERVAL_MILLIS);
                buffer.drain();
            }
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
    }

    private void closeAndDrain() {
        closing = true;
        buffer.drain();
    }

    @Override
    public void publish(LogRecord entry) {
        if (!isLoggable(entry)) {
            return;
        }
        buffer.offer(entry.getMillis(), entry.getLevel().getName(), text(entry));
        if (closing) {
            buffer.drain();
        }
    }

    private static String text(LogRecord entry) {
        if (entry.getThrown() == null) {
            return entry.getMessage();
        }
        StringWriter trace = new StringWriter();
        entry.getThrown().printStackTrace(new PrintWriter(trace));
        return entry.getMessage() + "\n" + trace;
    }

    @Override
    public void flush() {
        buffer.drain();
    }

    @Override
    public void close() {
        closeAndDrain();
    }
}
