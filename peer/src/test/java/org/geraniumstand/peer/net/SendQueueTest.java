package org.geraniumstand.peer.net;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

final class SendQueueTest {
    private static final int FRAME_BYTES = 100 * 1024;

    private final SendQueue queue = new SendQueue();

    @Test
    void dropsOldestDroppableFramesWhenFull() throws IOException {
        for (int i = 0; i < 20; i++) {
            assertThat(queue.add(frame(i), true), is(true));
        }
        assertThat(queue.bytes(), is(lessThanOrEqualTo(SendQueue.MAX_DROPPABLE_BYTES)));
        byte[] written = drain();
        assertThat((int) written[written.length - 1], is(19));
        assertThat((int) written[0], is(15));
    }

    @Test
    void rejectsNonDroppableFramesWhenFull() throws IOException {
        int accepted = 0;
        while (queue.add(frame(accepted), false)) {
            accepted++;
        }
        assertThat(accepted, is(SendQueue.MAX_TOTAL_BYTES / FRAME_BYTES));
        assertThat(drain().length, is(accepted * FRAME_BYTES));
        assertThat(queue.bytes(), is(0));
        assertThat(queue.add(frame(1), false), is(true));
    }

    @Test
    void droppableFramesDoNotDisplaceOtherFrames() throws IOException {
        queue.add(frame(1), false);
        for (int i = 0; i < 20; i++) {
            queue.add(frame(2), true);
        }
        assertThat((int) drain()[0], is(1));
    }

    private byte[] drain() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        queue.writeTo(Channels.newChannel(out));
        return out.toByteArray();
    }

    private static ByteBuffer frame(int value) {
        byte[] bytes = new byte[FRAME_BYTES];
        Arrays.fill(bytes, (byte) value);
        return ByteBuffer.wrap(bytes);
    }
}
