package org.geraniumstand.support.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class ShutdownLoggingTest {
    private static final String LOG_BEFORE_SETUP = "early";

    /** Logs in a shutdown hook after the shutdown hooks of the Java runtime have completed. */
    static final class Child {
        private Child() {}

        @SuppressWarnings("ShutdownHook") // The test verifies logging in a shutdown hook.
        public static void main(String[] args) {
            if (args.length > 0) {
                Log.of(String.class).info("logged-too-soon");
            }
            LogSetup.configureForServer();
            Log log = Log.of(Child.class);
            log.info("started");
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                try {
                    TimeUnit.MILLISECONDS.sleep(500);
                } catch (InterruptedException _e) {
                    Thread.currentThread().interrupt();
                }
                log.info("stopped");
            }));
        }
    }

    @Test
    void logsUntilProcessExits() throws Exception {
        assertThat(run(), containsString("event=stopped"));
    }

    @Test
    void setupFailsIfLoggerWasCreatedBefore() throws Exception {
        assertThat(run(LOG_BEFORE_SETUP), not(containsString("event=started")));
    }

    private static String run(String... args) throws IOException, InterruptedException {
        ProcessBuilder command = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                Child.class.getName());
        command.command().addAll(List.of(args));
        Process child = command.redirectErrorStream(true).start();
        String output = new String(child.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        child.waitFor();
        return output;
    }
}
