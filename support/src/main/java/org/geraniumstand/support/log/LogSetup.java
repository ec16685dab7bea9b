package org.geraniumstand.support.log;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.logging.LogManager;

/** Sets the platform's logging up for one line an event. */
public final class LogSetup {
    private static final String COMMON = String.join(
            "\n", ".level=INFO", "org.xnio.level=WARNING", "io.undertow.level=WARNING", "org.jboss.level=WARNING");
    private static final String RING = "handlers=" + LineHandler.class.getName();
    private static final String CONSOLE = String.join(
            "\n",
            "handlers=java.util.logging.ConsoleHandler",
            "java.util.logging.ConsoleHandler.level=ALL",
            "java.util.logging.ConsoleHandler.formatter=java.util.logging.SimpleFormatter",
            "java.util.logging.SimpleFormatter.format=time=%1$tFT%1$tT.%1$tL%1$tz level=%4$s %5$s%6$s%n");

    private LogSetup() {}

    /** Has a command write to standard error, as its results go to standard output. */
    public static void forCommand() {
        apply(CONSOLE);
    }

    /**
     * Has a serving process write to standard output, without ever waiting for it.
     *
     * @throws IllegalStateException if a logger was made before: the platform's own log manager then stays in place, which
     *     closes the log as soon as the process is told to stop
     */
    public static void forProcess() {
        apply(RING);
        if (!(LogManager.getLogManager() instanceof KeepingLogManager)) {
            throw new IllegalStateException("a logger was made before the logging was set up");
        }
    }

    private static void apply(String handlers) {
        System.setProperty("java.util.logging.manager", KeepingLogManager.class.getName());
        try {
            LogManager.getLogManager()
                    .readConfiguration(
                            new ByteArrayInputStream((COMMON + "\n" + handlers).getBytes(StandardCharsets.UTF_8)));
        } catch (IOException e) {
            throw new UncheckedIOException("the logging set-up cannot be read", e);
        }
    }
}
