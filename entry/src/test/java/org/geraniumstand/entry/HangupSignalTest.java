package org.geraniumstand.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.BufferedReader;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class HangupSignalTest {
    private static final String READY = "ready";
    private static final String HANDLED = "told";

    /** A process that handles SIGHUP and prints a line for each. */
    static final class Child {
        private Child() {}

        @SuppressWarnings("SystemOut") // The test reads the output.
        public static void main(String[] _args) throws InterruptedException {
            HangupSignal.handle(() -> System.out.println(HANDLED));
            System.out.println(READY);
            TimeUnit.SECONDS.sleep(20);
        }
    }

    /**
     * The process that runs the tests may ignore SIGHUP, and children inherit that, so the child starts with the
     * default signal action.
     */
    @Test
    void runsTaskOnSignalWithoutTerminating() throws Exception {
        Process child = new ProcessBuilder(
                        "env",
                        "--default-signal=HUP",
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        Child.class.getName())
                .start();
        try (BufferedReader lines = child.inputReader()) {
            assertThat(lines.readLine(), is(READY));
            new ProcessBuilder("kill", "-HUP", Long.toString(child.pid()))
                    .start()
                    .waitFor();

            assertThat(lines.readLine(), is(HANDLED));
            assertThat(child.isAlive(), is(true));
        } finally {
            child.destroyForcibly();
        }
    }
}
