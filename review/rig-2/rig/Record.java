package rig;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what is sent, run and answered to record.txt, one line each, with the seconds since the start of the case. */
public final class Record {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    public Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    public synchronized void line(String format, Object... arguments) {
        out.printf(Locale.ROOT, "%8.3f ", seconds());
        out.printf(Locale.ROOT, format, arguments);
        out.println();
    }

    /** Writes a line to the record and to standard output. */
    public synchronized void say(String format, Object... arguments) {
        line(format, arguments);
        System.out.printf(Locale.ROOT, "%8.3f ", seconds());
        System.out.printf(Locale.ROOT, format + "%n", arguments);
        out.flush();
    }

    public synchronized void close() {
        out.close();
    }
}
