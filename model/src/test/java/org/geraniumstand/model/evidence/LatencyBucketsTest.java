package org.geraniumstand.model.evidence;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

final class LatencyBucketsTest {
    private static final int LAST_INDEX = LatencyBuckets.COUNT - 1;

    @Test
    void shortestLatenciesFallIntoFirstBucket() {
        assertThat(LatencyBuckets.indexOf(0), is(0));
        assertThat(LatencyBuckets.indexOf(1), is(0));
    }

    @Test
    void longestLatencyFallsIntoUnboundedLastBucket() {
        assertThat(LatencyBuckets.indexOf(Long.MAX_VALUE), is(LAST_INDEX));
        assertThat(LatencyBuckets.upperMillis(LAST_INDEX), is(Long.MAX_VALUE));
    }

    @Property(seed = "1")
    void latencyDoesNotExceedUpperBoundOfItsBucket(@ForAll @LongRange(min = 0, max = 40_000) long millis) {
        int index = LatencyBuckets.indexOf(millis);

        assertThat(index, both(greaterThanOrEqualTo(0)).and(lessThan(LatencyBuckets.COUNT)));
        assertThat(millis, lessThanOrEqualTo(Math.max(1, LatencyBuckets.upperMillis(index))));
    }

    @Property(seed = "2")
    void bucketIndexIsMonotonicInLatency(
            @ForAll @LongRange(min = 0, max = 100_000) long a, @ForAll @LongRange(min = 0, max = 100_000) long b) {
        long shorter = Math.min(a, b);
        long longer = Math.max(a, b);

        assertThat(LatencyBuckets.indexOf(shorter), lessThanOrEqualTo(LatencyBuckets.indexOf(longer)));
    }
}
