package org.geraniumstand.decisions.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.api.Test;

final class ReadinessRuleTest {
    private static final long LATER = ReadinessRule.CUT_OFF_NANOS + 1;

    @Test
    void aConfiguredProcessInContactIsReady() {
        assertThat(
                ReadinessRule.refusal(new ReadinessRule.Facts(true, true, LATER, 1, 0), LATER), is(Optional.empty()));
    }

    @Test
    void aProcessWithoutConfigurationIsNot() {
        assertThat(refusal(new ReadinessRule.Facts(false, false, LATER, 1, 0)), containsString("no configuration"));
    }

    @Test
    void aProcessCutOffFromOthersIsNot() {
        assertThat(refusal(new ReadinessRule.Facts(true, true, 0, 1, 0)), containsString("neither"));
    }

    @Test
    void aProcessThatNeverKnewOthersStaysReady() {
        assertThat(ReadinessRule.refusal(new ReadinessRule.Facts(true, false, 0, 1, 0), LATER), is(Optional.empty()));
    }

    @Test
    void aConfigurationForNewerProcessesIsNamed() {
        assertThat(refusal(new ReadinessRule.Facts(true, true, LATER, 1, 2)), containsString("protocol level 2"));
    }

    private static String refusal(ReadinessRule.Facts facts) {
        return ReadinessRule.refusal(facts, LATER).orElseThrow();
    }
}
