package org.geraniumstand.http.opaque;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

final class HttpDateTest {
    private static final DateTimeFormatter REFERENCE_FORMAT = DateTimeFormatter.ofPattern(
                    "EEE, dd MMM yyyy HH:mm:ss 'GMT'", Locale.US)
            .withZone(ZoneOffset.UTC);

    private final HttpDate date = new HttpDate();

    @Property(seed = "41", tries = 500)
    void formatsLikeTheReferenceFormatter(@ForAll @LongRange(min = 0, max = 8_000_000_000L) long second) {
        Instant time = Instant.ofEpochSecond(second);

        assertThat(date.at(time), is(REFERENCE_FORMAT.format(time)));
    }

    @Test
    void returnsEarlierTimeAfterClockStepsBack() {
        date.at(Instant.ofEpochSecond(1_000_000_000));

        assertThat(date.at(Instant.EPOCH), is("Thu, 01 Jan 1970 00:00:00 GMT"));
    }
}
