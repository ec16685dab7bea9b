package org.geraniumstand.support.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

final class LogRingBufferTest {
    private static final int CAPACITY = 4_096;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final LogRingBuffer buffer = new LogRingBuffer(out);

    private String drainedText() {
        buffer.drain();
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void writesTimeLevelAndText() {
        buffer.offer(1_700_000_000_007L, "INFO", "event=a b=1");

        assertThat(drainedText(), is("time=2023-11-14T22:13:20.007+0000 level=INFO event=a b=1\n"));
    }

    @Test
    void writesNothingBeforeDrain() {
        buffer.offer(0, "INFO", "event=a");

        assertThat(out.size(), is(0));
    }

    @Test
    void dropsAndCountsLinesWhenFull() {
        for (int i = 0; i < CAPACITY + 3; i++) {
            buffer.offer(i * 100L, "INFO", "event=a n=" + i);
        }
        String text = drainedText();

        assertThat(text, containsString("event=lines-dropped count=3"));
        assertThat(text, not(containsString("n=" + CAPACITY + "\n")));
    }

    @Test
    void suppressesAndReportsLinesAboveRateLimit() {
        for (int i = 0; i < LogRateLimiter.LINES_PER_SECOND + 4; i++) {
            buffer.offer(5_000, "INFO", "event=a n=" + i);
        }

        assertThat(drainedText(), containsString("event=lines-left-out of=a count=4"));
    }

    @Test
    void neverSuppressesWarnings() {
        for (int i = 0; i < LogRateLimiter.LINES_PER_SECOND + 4; i++) {
            buffer.offer(5_000, "WARNING", "event=a n=" + i);
        }

        assertThat(drainedText(), containsString("n=" + (LogRateLimiter.LINES_PER_SECOND + 3)));
    }
}
