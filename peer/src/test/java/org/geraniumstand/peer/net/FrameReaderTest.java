package org.geraniumstand.peer.net;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

final class FrameReaderTest {
    private static final int LIMIT = 4_096;

    @Property(tries = 500, seed = "31")
    void returnsCompleteFramesForAnySplitOfTheStream(
            @ForAll @Size(max = 6) List<@Size(max = 60) byte[]> frames,
            @ForAll @IntRange(min = 1, max = 50) int chunkBytes) {
        ByteArrayOutputStream stream = new ByteArrayOutputStream();
        frames.forEach(frame -> stream.writeBytes(FrameReader.frame(frame).array()));
        byte[] bytes = stream.toByteArray();
        FrameReader reader = new FrameReader(LIMIT);
        List<String> read = new ArrayList<>();
        for (int from = 0; from < bytes.length; from += chunkBytes) {
            ByteBuffer chunk = ByteBuffer.wrap(bytes, from, Math.min(chunkBytes, bytes.length - from));
            Optional<byte[]> frame = reader.next(chunk);
            while (frame.isPresent()) {
                read.add(Arrays.toString(frame.get()));
                frame = reader.next(chunk);
            }
        }
        assertThat(read, is(frames.stream().map(Arrays::toString).toList()));
        assertThat(reader.oversized(), is(false));
    }

    @Test
    void detectsOversizedFrameFromItsHeader() {
        FrameReader reader = new FrameReader(LIMIT);
        ByteBuffer header = ByteBuffer.allocate(4).putInt(LIMIT + 1).flip();
        assertThat(reader.next(header), is(Optional.empty()));
        assertThat(reader.oversized(), is(true));
    }

    @Test
    void treatsNegativeLengthAsOversized() {
        FrameReader reader = new FrameReader(LIMIT);
        reader.next(ByteBuffer.allocate(4).putInt(-1).flip());
        assertThat(reader.oversized(), is(true));
    }
}
