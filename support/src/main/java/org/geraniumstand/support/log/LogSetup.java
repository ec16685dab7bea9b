package org.geraniumstand.support.log;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.logging.LogManager;

/** Configures {@code java.util.logging} to write one line per event. */
public final class LogSetup {
    private static final String LOG_LEVELS = String.join(
            "\n", ".level=INFO", "org.xnio.level=WARNING", "io.undertow.level=WARNING", "org.jboss.level=WARNING");
    private static final String ASYNC_HANDLER = "handlers=" + AsyncLogHandler.class.getName();
    private static final String CONSOLE_HANDLER = String.join(
            "\n",
            "handlers=java.util.logging.ConsoleHandler",
            "java.util.logging.ConsoleHandler.level=ALL",
            "java.util.logging.ConsoleHandler.formatter=java.util.logging.SimpleFormatter",
            "java.util.logging.SimpleFormatter.format=time=%1$tFT%1$tT.%1$tL%1$tz level=%4$s %5$s%6$s%n");

    private LogSetup() {}

    /** Configures a command-line tool to log to standard error, because its results go to standard output. */
    public static void configureForCommand() {
        apply(CONSOLE_HANDLER);
    }

    /**
     * Configures a server process to log to standard output without blocking the logging threads.
     *
     * @throws IllegalStateException if a logger was created before: the default log manager then stays in place, which
     *     closes the handlers as soon as the process receives a termination signal
     */
    public static void configureForServer() {
        apply(ASYNC_HANDLER);
        if (!(LogManager.getLogManager() instanceof KeepingLogManager)) {
            throw new IllegalStateException(
                    "a logger was created before logging was configured; the default log manager is in place");
        }
    }

    private static void apply(String handlers) {
        System.setProperty("java.util.logging.manager", KeepingLogManager.class.getName());
        try {
            LogManager.getLogManager()
                    .readConfiguration(
                            new ByteArrayInputStream((LOG_LEVELS + "\n" + handlers).getBytes(StandardCharsets.UTF_8)));
        } catch (IOException e) {
            throw new UncheckedIOException("failed to read the logging configuration", e);
        }
    }
}
