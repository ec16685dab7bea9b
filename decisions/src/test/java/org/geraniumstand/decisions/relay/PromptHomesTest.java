package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.PromptPart;
import org.junit.jupiter.api.Test;

final class PromptHomesTest {
    private static final ServerId ONE = new ServerId("one");
    private static final ServerId TWO = new ServerId("two");
    private static final PromptPart SYSTEM = new PromptPart(1, 100);
    private static final PromptPart TOPIC = new PromptPart(2, 200);
    private static final PromptPart OWN = new PromptPart(3, 50);

    private final PromptHomes homes = new PromptHomes();

    private double unread(ServerId server, long nowNanos) {
        return homes.unread(List.of(SYSTEM, TOPIC, OWN), 350, server, false, nowNanos);
    }

    @Test
    void takesAnUnknownServerToHoldNothing() {
        assertThat(unread(ONE, 0), is(350.0));
    }

    @Test
    void countsPartsThatTheServerReadLately() {
        homes.onSent(List.of(SYSTEM, TOPIC), ONE, 0);

        assertThat(unread(ONE, 1), is(50.0));
        assertThat(unread(TWO, 1), is(350.0));
    }

    @Test
    void countsNoPartBehindOneThatIsMissing() {
        homes.onSent(List.of(TOPIC), ONE, 0);

        assertThat(unread(ONE, 1), is(350.0));
    }

    @Test
    void forgetsAfterAWhile() {
        homes.onSent(List.of(SYSTEM), ONE, 0);

        assertThat(unread(ONE, 60_000 * Calls.MILLI), is(350.0));
    }

    @Test
    void trustsTheHomeOfAPartInPart() {
        double unread = homes.unread(List.of(SYSTEM, TOPIC, OWN), 350, ONE, true, 0);

        assertThat(unread, closeTo(350 - 70 - 98, 0.01));
    }

    @Test
    void namesTheLastSharedPartAsTheHome() {
        assertThat(PromptHomes.homeKey(List.of(SYSTEM, TOPIC, OWN)), is(2L));
        assertThat(PromptHomes.homeKey(List.of()), is(0L));
    }
}
