package org.geraniumstand.http.opaque;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertTimeout;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class EventSplitterTest {
    private final EventSplitter splitter =
            new EventSplitter(new EventOrder(Optional.of("3"), true), (_id, _verdict) -> {});

    private String accept(String text) {
        return new String(
                splitter.accept(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8))), StandardCharsets.UTF_8);
    }

    @Test
    void lastIdIsInitiallyThatOfTheCaller() {
        assertThat(splitter.lastId(), is(Optional.of("3")));
    }

    @Test
    void returnsCompleteEventsAndBuffersTheRest() {
        assertThat(accept("id: 4\ndata: a\n\nid: 5\nda"), is("id: 4\ndata: a\n\n"));
        assertThat(splitter.lastId(), is(Optional.of("4")));
        assertThat(accept("ta: b\n\n"), is("id: 5\ndata: b\n\n"));
        assertThat(splitter.lastId(), is(Optional.of("5")));
    }

    @Test
    void preservesCarriageReturns() {
        assertThat(accept("id: 4\r\ndata: a\r\n\r\n"), is("id: 4\r\ndata: a\r\n\r\n"));
        assertThat(splitter.lastId(), is(Optional.of("4")));
    }

    @Test
    void returnsLinesBeforeTheIdWithTheirEvent() {
        assertThat(accept("weights: 2\nid: 4\ndata: a\n\n"), is("weights: 2\nid: 4\ndata: a\n\n"));
    }

    @Test
    void discardsATruncatedEvent() {
        accept("id: 4\ndata: a\n\nid: 5\ndata: ha");
        splitter.discardIncomplete();

        assertThat(accept("id: 5\ndata: half\n\n"), is("id: 5\ndata: half\n\n"));
    }

    @Test
    void countsTheRestOfAnAnswerThatEndsWithoutAnEmptyLine() {
        accept("id: 4\ndata: a");

        assertThat(splitter.incompleteBytes(), is("id: 4\ndata: a".length()));
    }

    /** Guards against a stream of empty lines without end that is relayed as if it were progress. */
    @Test
    void emptyLinesOutsideAnEventAreNoEvent() {
        assertThat(accept("\n\n\r\n"), is(""));
        assertThat(splitter.incompleteBytes(), is(4));
        assertThat(splitter.insideEvent(), is(false));
    }

    @Test
    void returnsEmptyLinesWithTheNextEvent() {
        accept("\n\r\n");

        assertThat(accept("id: 4\ndata: a\n\n\n"), is("\n\r\nid: 4\ndata: a\n\n"));
    }

    @Test
    void takesEmptyLinesAfterTheLastEvent() {
        accept("id: 4\ndata: a\n\n\n\r");

        assertThat(splitter.insideEvent(), is(false));
        assertThat(new String(splitter.takeRest(), StandardCharsets.UTF_8), is("\n\r"));
        assertThat(splitter.incompleteBytes(), is(0));
    }

    @Test
    void isInsideAnEventAfterAnyByteOfALine() {
        accept("id: 4\ndata: a\n\ni");
        assertThat(splitter.insideEvent(), is(true));

        accept("d: 5\n");
        assertThat(splitter.insideEvent(), is(true));
    }

    /** Guards against copying a growing event for each of its lines. */
    @Test
    void splitsALargeEventOfManyPartsInLinearTime() {
        assertTimeout(Duration.ofSeconds(5), () -> {
            for (int i = 0; i < 200_000; i++) {
                accept("d: x\n");
            }
        });
        assertThat(accept("\n").length(), is(1_000_001));
    }

    @Test
    void leavesOutTheSameEventWhateverEmptyLinesPrecedeIt() {
        accept("id: 4\ndata: a\n\n\n");
        splitter.startRun();

        assertThat(accept("\n\r\nid: 4\ndata: a\n\nid: 5\ndata: b\n\n"), is("id: 5\ndata: b\n\n"));
        assertThat(splitter.brokenOff(), is(false));
    }

    @Test
    void breaksOffRunWhoseEventDiffersFromTheOneReturned() {
        accept("id: 4\ndata: a\n\n");
        splitter.startRun();

        assertThat(accept("id: 4\ndata: b\n\nid: 5\ndata: b\n\n"), is(""));
        assertThat(splitter.brokenOff(), is(true));
    }

    @Test
    void returnsTheSameBytesForEverySplitOfTheInput() {
        String text = "id: 4\ndata: a\n\nid: 5\ndata: b\n\n";
        for (int split = 0; split <= text.length(); split++) {
            EventSplitter fresh = new EventSplitter(new EventOrder(Optional.empty(), true), (_id, _verdict) -> {});
            String relayed = new String(
                            fresh.accept(
                                    ByteBuffer.wrap(text.substring(0, split).getBytes(StandardCharsets.UTF_8))),
                            StandardCharsets.UTF_8)
                    + new String(
                            fresh.accept(ByteBuffer.wrap(text.substring(split).getBytes(StandardCharsets.UTF_8))),
                            StandardCharsets.UTF_8);
            assertThat(relayed, is(text));
            assertThat(fresh.lastId(), is(Optional.of("5")));
        }
    }
}
