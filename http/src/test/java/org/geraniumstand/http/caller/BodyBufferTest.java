package org.geraniumstand.http.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

final class BodyBufferTest {
    private final AtomicLong reserved = new AtomicLong();

    @Test
    void keepsTheBytesOfManySmallPartsInOrder() {
        BodyBuffer buffer = new BodyBuffer(-1);
        StringBuilder sent = new StringBuilder();
        for (int i = 0; i < 100_000; i++) {
            char next = (char) ('a' + i % 26);
            sent.append(next);
            assertThat(add(buffer, String.valueOf(next)), is(true));
        }

        assertThat(buffer.toBody().text(), is(sent.toString()));
        assertThat(reserved.get(), is(lessThanOrEqualTo(200_000L)));
    }

    @Test
    void reservesNoMoreThanTheStatedLength() {
        BodyBuffer buffer = new BodyBuffer(3_000);

        assertThat(add(buffer, "x".repeat(3_000)), is(true));
        assertThat(reserved.get(), is(3_000L));
        assertThat(buffer.toBody().size(), is(3_000));
    }

    @Test
    void stopsWhereThereIsNoRoom() {
        BodyBuffer buffer = new BodyBuffer(-1);

        assertThat(buffer.add(ByteBuffer.allocate(5_000), bytes -> reserved.addAndGet(bytes) <= 4_096), is(false));
        assertThat(buffer.size(), is(4_096));
    }

    private boolean add(BodyBuffer buffer, String part) {
        return buffer.add(ByteBuffer.wrap(part.getBytes(StandardCharsets.US_ASCII)), bytes -> {
            reserved.addAndGet(bytes);
            return true;
        });
    }
}
