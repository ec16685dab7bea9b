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

final class LastLinesTest {
    private static final String EARLY = "early";

    /** A process that logs in the hook of its stop, after the hooks of the platform are done. */
    static final class Child {
        private Child() {}

        @SuppressWarnings("ShutdownHook") // It is what is tested.
        public static void main(String[] args) {
            if (args.length > 0) {
                Log.of(String.class).info("logged-too-soon");
            }
            LogSetup.forProcess();
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
    void aProcessLogsUntilItsEnd() throws Exception {
        assertThat(run(), containsString("event=stopped"));
    }

    @Test
    void setUpFailsIfAnotherLogManagerIsInPlace() throws Exception {
        assertThat(run(EARLY), not(containsString("event=started")));
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
