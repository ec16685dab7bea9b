package org.geraniumstand.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class HangUpTest {
    /** Without a handler the signal ends this process, and the test with it. */
    @Test
    void runsTheTaskAndGoesOn() throws Exception {
        CountDownLatch told = new CountDownLatch(1);
        HangUp.handle(told::countDown);
        new ProcessBuilder("kill", "-HUP", Long.toString(ProcessHandle.current().pid()))
                .start()
                .waitFor();

        assertThat(told.await(5, TimeUnit.SECONDS), is(true));
    }
}
