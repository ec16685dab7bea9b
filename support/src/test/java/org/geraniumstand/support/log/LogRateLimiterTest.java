package org.geraniumstand.support.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import org.junit.jupiter.api.Test;

final class LogRateLimiterTest {
    private final LogRateLimiter limiter = new LogRateLimiter();

    private void acquire(String event, int lines, long atMillis) {
        for (int i = 0; i < lines; i++) {
            limiter.tryAcquire(event, atMillis);
        }
    }

    @Test
    void acceptsLinesUpToLimit() {
        acquire("a", LogRateLimiter.LINES_PER_SECOND - 1, 1_000);

        assertThat(limiter.tryAcquire("a", 1_999), is(true));
    }

    @Test
    void rejectsAndCountsLinesBeyondLimit() {
        acquire("a", LogRateLimiter.LINES_PER_SECOND + 5, 1_000);

        assertThat(limiter.tryAcquire("a", 1_000), is(false));
        assertThat(limiter.takeSuppressed(), is(Map.of("a", 6)));
        assertThat(limiter.takeSuppressed(), is(Map.of()));
    }

    @Test
    void limitsEachEventSeparately() {
        acquire("a", LogRateLimiter.LINES_PER_SECOND, 1_000);

        assertThat(limiter.tryAcquire("b", 1_000), is(true));
    }

    @Test
    void resetsLimitEachSecond() {
        acquire("a", LogRateLimiter.LINES_PER_SECOND, 1_000);

        assertThat(limiter.tryAcquire("a", 2_000), is(true));
    }
}
