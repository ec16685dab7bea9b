package org.geraniumstand.support.log;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.logging.LogManager;

/** Sets the platform's logging up for one line an event on standard error. */
public final class LogSetup {
    private static final String SETTINGS = String.join(
            "\n",
            "handlers=java.util.logging.ConsoleHandler",
            ".level=INFO",
            "org.xnio.level=WARNING",
            "io.undertow.level=WARNING",
            "org.jboss.level=WARNING",
            "java.util.logging.ConsoleHandler.level=ALL",
            "java.util.logging.ConsoleHandler.formatter=java.util.logging.SimpleFormatter",
            "java.util.logging.SimpleFormatter.format=time=%1$tFT%1$tT.%1$tL%1$tz level=%4$s %5$s%6$s%n");

    private LogSetup() {}

    /** Applies the set-up to this process. */
    public static void apply() {
        System.setProperty("java.util.logging.manager", KeepingLogManager.class.getName());
        try {
            LogManager.getLogManager()
                    .readConfiguration(new ByteArrayInputStream(SETTINGS.getBytes(StandardCharsets.UTF_8)));
        } catch (IOException e) {
            throw new UncheckedIOException("the logging set-up cannot be read", e);
        }
    }
}
