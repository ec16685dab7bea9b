package org.geraniumstand.http.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class CallerMemoryTest {
    private static final int HEAP = 128 * 1024 * 1024;
    private static final long MEGABYTE = 1024 * 1024;

    private final CallerMemory memory = CallerMemory.ofHeap(HEAP);

    @Test
    void takesItsLimitsFromTheHeap() {
        assertThat(memory, is(new CallerMemory(52 * MEGABYTE, 2_048)));
    }

    @Test
    void admitsTheLargestRequestOfThePagesInCalm() {
        assertThat(memory.admits(0, 0, 4 * MEGABYTE), is(true));
        assertThat(memory.admits(0, 0, 16_384 * CallerMemory.PARSED_BYTES_PER_HEAD_BYTE), is(true));
    }

    @Test
    void keepsRoomThatLargeRequestsCannotTake() {
        assertThat(memory.admits(22 * MEGABYTE, 3 * MEGABYTE, MEGABYTE), is(true));
        assertThat(memory.admits(26 * MEGABYTE, 3 * MEGABYTE, 1), is(false));
        assertThat(memory.admits(38 * MEGABYTE, CallerMemory.SMALL_BYTES, 1), is(true));
        assertThat(memory.admits(39 * MEGABYTE, CallerMemory.SMALL_BYTES, 1), is(false));
        assertThat(memory.admits(39 * MEGABYTE, 0, CallerMemory.SMALL_BYTES), is(true));
    }

    @Test
    void admitsNothingBeyondTheBudget() {
        assertThat(memory.admits(52 * MEGABYTE, 0, 1), is(false));
    }
}
