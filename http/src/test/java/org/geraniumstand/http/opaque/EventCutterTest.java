package org.geraniumstand.http.opaque;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class EventCutterTest {
    private final EventCutter cutter = new EventCutter(Optional.of("3"));

    private String accept(String text) {
        return new String(
                cutter.accept(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8))), StandardCharsets.UTF_8);
    }

    @Test
    void startsWithTheEventThatTheCallerHas() {
        assertThat(cutter.lastId(), is(Optional.of("3")));
    }

    @Test
    void passesWholeEventsAndHoldsTheRest() {
        assertThat(accept("id: 4\ndata: a\n\nid: 5\nda"), is("id: 4\ndata: a\n\n"));
        assertThat(cutter.lastId(), is(Optional.of("4")));
        assertThat(accept("ta: b\n\n"), is("id: 5\ndata: b\n\n"));
        assertThat(cutter.lastId(), is(Optional.of("5")));
    }

    @Test
    void keepsLineEndsAsTheyAre() {
        assertThat(accept("id: 4\r\ndata: a\r\n\r\n"), is("id: 4\r\ndata: a\r\n\r\n"));
        assertThat(cutter.lastId(), is(Optional.of("4")));
    }

    @Test
    void keepsLinesBeforeTheIdWithTheirEvent() {
        assertThat(accept("weights: 2\nid: 4\ndata: a\n\n"), is("weights: 2\nid: 4\ndata: a\n\n"));
    }

    @Test
    void forgetsAnEventThatWasCutOff() {
        accept("id: 4\ndata: a\n\nid: 5\ndata: ha");
        cutter.forget();

        assertThat(accept("id: 5\ndata: half\n\n"), is("id: 5\ndata: half\n\n"));
    }

    @Test
    void givesTheRestOfAnAnswerThatEndsWithoutAnEmptyLine() {
        accept("id: 4\ndata: a");

        assertThat(new String(cutter.rest(), StandardCharsets.UTF_8), is("id: 4\ndata: a"));
    }

    @Test
    void cutsTheSameAtEverySplit() {
        String text = "id: 4\ndata: a\n\nid: 5\ndata: b\n\n";
        for (int split = 0; split <= text.length(); split++) {
            EventCutter other = new EventCutter(Optional.empty());
            String passed = new String(
                            other.accept(
                                    ByteBuffer.wrap(text.substring(0, split).getBytes(StandardCharsets.UTF_8))),
                            StandardCharsets.UTF_8)
                    + new String(
                            other.accept(ByteBuffer.wrap(text.substring(split).getBytes(StandardCharsets.UTF_8))),
                            StandardCharsets.UTF_8);
            assertThat(passed, is(text));
            assertThat(other.lastId(), is(Optional.of("5")));
        }
    }
}
