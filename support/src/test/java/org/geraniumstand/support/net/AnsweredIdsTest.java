package org.geraniumstand.support.net;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class AnsweredIdsTest {
    private static final int ID_CHARS = 16;
    private static final int ROOM = AnsweredIds.MAX_CHARS / ID_CHARS;

    private final AnsweredIds ids = new AnsweredIds();

    private static String id(int number) {
        return String.format("%0" + ID_CHARS + "x", number);
    }

    private void add(int from, int count, boolean success) {
        for (int i = from; i < from + count; i++) {
            assertThat(ids.add(id(i), success), is(true));
        }
    }

    @Test
    void remembersAnsweredRequests() {
        assertThat(ids.add("a", true), is(true));
        assertThat(ids.add("b", false), is(true));

        assertThat(ids.contains("a"), is(true));
        assertThat(ids.contains("b"), is(true));
        assertThat(ids.contains("c"), is(false));
    }

    /** Guards against a refused request that is forgotten while its connection stays in use. */
    @Test
    void neverForgetsARequestThatWasAnsweredWithoutSuccess() {
        ids.add("refused", false);
        add(0, 4 * ROOM, true);

        assertThat(ids.contains("refused"), is(true));
    }

    @Test
    void reportsThatARequestAnsweredWithoutSuccessHasNoRoom() {
        add(0, ROOM, false);

        assertThat(ids.add("x", false), is(false));
        assertThat(ids.contains("x"), is(false));
        assertThat(ids.add(id(0), false), is(true));
    }

    @Test
    void reportsAnIdThatIsLongerThanAllRoom() {
        assertThat(ids.add("x".repeat(AnsweredIds.MAX_CHARS + 1), false), is(false));
        assertThat(ids.add("x".repeat(AnsweredIds.MAX_CHARS), false), is(true));
    }

    @Test
    void forgetsTheOldestSuccessfulRequestFirst() {
        add(0, ROOM + 2, true);

        assertThat(ids.contains(id(0)), is(false));
        assertThat(ids.contains(id(1)), is(false));
        assertThat(ids.contains(id(2)), is(true));
        assertThat(ids.contains(id(ROOM + 1)), is(true));
    }

    @Test
    void makesRoomForARequestAnsweredWithoutSuccess() {
        add(0, ROOM, true);
        add(ROOM, ROOM, false);

        assertThat(ids.contains(id(ROOM - 1)), is(false));
        assertThat(ids.contains(id(ROOM)), is(true));
    }

    @Test
    void allowsReuseAfterASuccessfulRequestThatHasNoRoom() {
        add(0, ROOM, false);

        assertThat(ids.add("x", true), is(true));
        assertThat(ids.contains("x"), is(false));
    }

    @Test
    void remembersThatARequestWasOnceAnsweredWithoutSuccess() {
        ids.add("a", true);
        ids.add("a", false);
        ids.add("a", true);
        add(0, 4 * ROOM, true);

        assertThat(ids.contains("a"), is(true));
    }
}
