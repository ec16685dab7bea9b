package org.geraniumstand.support.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

final class LineRingTest {
    private static final int ROOM = 4_096;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final LineRing ring = new LineRing(out);

    private String written() {
        ring.drain();
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void writesTimeLevelAndText() {
        ring.offer(1_700_000_000_007L, "INFO", "event=a b=1");

        assertThat(written(), is("time=2023-11-14T22:13:20.007+0000 level=INFO event=a b=1\n"));
    }

    @Test
    void writesNothingBeforeItIsDrained() {
        ring.offer(0, "INFO", "event=a");

        assertThat(out.size(), is(0));
    }

    @Test
    void dropsAndCountsWhatFindsNoRoom() {
        for (int i = 0; i < ROOM + 3; i++) {
            ring.offer(i * 100L, "INFO", "event=a n=" + i);
        }
        String text = written();

        assertThat(text, containsString("event=lines-dropped count=3"));
        assertThat(text, not(containsString("n=" + ROOM + "\n")));
    }

    @Test
    void leavesOutWhatExceedsTheBudgetAndSaysSo() {
        for (int i = 0; i < LineBudget.LINES_PER_SECOND + 4; i++) {
            ring.offer(5_000, "INFO", "event=a n=" + i);
        }

        assertThat(written(), containsString("event=lines-left-out of=a count=4"));
    }

    @Test
    void neverLeavesOutWarnings() {
        for (int i = 0; i < LineBudget.LINES_PER_SECOND + 4; i++) {
            ring.offer(5_000, "WARNING", "event=a n=" + i);
        }

        assertThat(written(), containsString("n=" + (LineBudget.LINES_PER_SECOND + 3)));
    }
}
