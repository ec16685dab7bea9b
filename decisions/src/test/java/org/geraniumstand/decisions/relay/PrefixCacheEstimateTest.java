package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.PromptPart;
import org.junit.jupiter.api.Test;

final class PrefixCacheEstimateTest {
    private static final ServerId ONE = new ServerId("one");
    private static final ServerId TWO = new ServerId("two");
    private static final PromptPart SYSTEM = new PromptPart(1, 100);
    private static final PromptPart TOPIC = new PromptPart(2, 200);
    private static final PromptPart OWN = new PromptPart(3, 50);

    private final PrefixCacheEstimate estimate = new PrefixCacheEstimate();

    private double uncachedTokens(ServerId server, long nowNanos) {
        return estimate.uncachedTokens(List.of(SYSTEM, TOPIC, OWN), 350, server, false, nowNanos);
    }

    @Test
    void expectsNothingCachedAtUnknownServer() {
        assertThat(uncachedTokens(ONE, 0), is(350.0));
    }

    @Test
    void countsPartsRecentlySentToServer() {
        estimate.onSent(List.of(SYSTEM, TOPIC), ONE, 0);

        assertThat(uncachedTokens(ONE, 1), is(50.0));
        assertThat(uncachedTokens(TWO, 1), is(350.0));
    }

    @Test
    void ignoresPartsAfterMissingPart() {
        estimate.onSent(List.of(TOPIC), ONE, 0);

        assertThat(uncachedTokens(ONE, 1), is(350.0));
    }

    @Test
    void expiresAfterRetentionPeriod() {
        estimate.onSent(List.of(SYSTEM), ONE, 0);

        assertThat(uncachedTokens(ONE, 60_000 * Calls.MILLI), is(350.0));
    }

    @Test
    void weightsPreferredServerByHitProbability() {
        double uncachedTokens = estimate.uncachedTokens(List.of(SYSTEM, TOPIC, OWN), 350, ONE, true, 0);

        assertThat(uncachedTokens, closeTo(350 - 70 - 98, 0.01));
    }

    @Test
    void usesLastSharedPartAsAffinityKey() {
        assertThat(PrefixCacheEstimate.affinityKey(List.of(SYSTEM, TOPIC, OWN)), is(2L));
        assertThat(PrefixCacheEstimate.affinityKey(List.of()), is(0L));
    }
}
