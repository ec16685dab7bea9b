package org.geraniumstand.decisions.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.api.Test;

final class ReadinessRuleTest {
    private static final long LATER_NANOS = ReadinessRule.ISOLATION_NANOS + 1;

    @Test
    void configuredProcessWithRecentContactIsReady() {
        assertThat(
                ReadinessRule.notReadyReason(new ReadinessRule.Facts(true, true, LATER_NANOS, 1, 0), LATER_NANOS),
                is(Optional.empty()));
    }

    @Test
    void processWithoutConfigurationIsNotReady() {
        assertThat(
                refusal(new ReadinessRule.Facts(false, false, LATER_NANOS, 1, 0)), containsString("no configuration"));
    }

    @Test
    void isolatedProcessIsNotReady() {
        assertThat(refusal(new ReadinessRule.Facts(true, true, 0, 1, 0)), containsString("neither"));
    }

    @Test
    void processThatNeverHadPeersStaysReady() {
        assertThat(
                ReadinessRule.notReadyReason(new ReadinessRule.Facts(true, false, 0, 1, 0), LATER_NANOS),
                is(Optional.empty()));
    }

    @Test
    void refusalNamesRequiredProtocolLevel() {
        assertThat(refusal(new ReadinessRule.Facts(true, true, LATER_NANOS, 1, 2)), containsString("protocol level 2"));
    }

    private static String refusal(ReadinessRule.Facts state) {
        return ReadinessRule.notReadyReason(state, LATER_NANOS).orElseThrow();
    }
}
