package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class RoomShareTest {
    private final RoomShare share = new RoomShare();

    @Test
    void quietProcessHasAnEqualPartAndBusyOneMore() {
        assertThat(RoomShare.share(4, 0, 8, true), closeTo(0.25, 1e-9));
        assertThat(RoomShare.share(4, 4, 8, true), closeTo(0.5, 1e-9));
    }

    @Test
    void processUsesAllIfOthersAreQuietAndAnEqualPartIfTheyAreUnknown() {
        assertThat(RoomShare.share(4, 0, 0, true), closeTo(1, 1e-9));
        assertThat(RoomShare.share(4, 3, 3, true), closeTo(1, 1e-9));
        assertThat(RoomShare.share(4, 3, 3, false), closeTo(0.25, 1e-9));
    }

    @Test
    void callOfAnySizeIsSentAndPaidForLater() {
        share.accrue(new RoomShare.Room(2, 1_500, 0.5), 0);
        assertThat(share.isOpen(), is(true));

        share.onSent(1_250);
        assertThat(share.isOpen(), is(false));

        // Half of what two engines process and of 1 ms in each that is free beyond.
        share.accrue(new RoomShare.Room(2, 1_500, 0.5), 300 * Calls.MILLI);
        assertThat(share.isOpen(), is(false));
        share.accrue(new RoomShare.Room(2, 1_500, 0.5), 400 * Calls.MILLI);
        assertThat(share.isOpen(), is(true));
    }

    @Test
    void nothingIsOpenWhileMoreWaitsThanCanBeOfUse() {
        share.accrue(new RoomShare.Room(2, -100, 1), 0);
        assertThat(share.isOpen(), is(false));
        share.accrue(new RoomShare.Room(2, -100, 1), 1_000 * Calls.MILLI);
        assertThat(share.isOpen(), is(false));
    }
}
