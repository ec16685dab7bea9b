package org.geraniumstand.decisions.orders;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.sameInstance;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class OpenClaimTest {
    @Test
    void grantsFirstRequest() {
        ChangedSlot changed = OpenClaim.apply(ClaimSlot.EMPTY, ClaimFixtures.open("t1"), 7);

        assertThat(changed.result().kind(), is(ClaimResult.Kind.GRANTED));
        Claim claim = changed.slot().find(ClaimFixtures.KEY).orElseThrow();
        assertThat(claim.state(), is(ClaimState.CLAIMED));
        assertThat(claim.atEpochMillis(), is(7L));
    }

    @ParameterizedTest
    @CsvSource({"CLAIMED,GRANTED", "ANSWERED,REPLAY", "NOT_RUN,GIVEN_UP", "UNKNOWN,UNKNOWN"})
    void recognizesOwnClaimByToken(ClaimState state, ClaimResult.Kind expected) {
        ClaimSlot slot = ClaimFixtures.slotIn(state);
        ChangedSlot changed = OpenClaim.apply(slot, ClaimFixtures.open("t1"), 7);

        assertThat(changed.result().kind(), is(expected));
        assertThat(changed.slot(), sameInstance(slot));
    }

    @ParameterizedTest
    @CsvSource({"CLAIMED,IN_FLIGHT", "ANSWERED,REPLAY", "NOT_RUN,GRANTED", "UNKNOWN,UNKNOWN"})
    void resultForSecondRequestDependsOnState(ClaimState state, ClaimResult.Kind expected) {
        assertThat(
                OpenClaim.apply(ClaimFixtures.slotIn(state), ClaimFixtures.open("t2"), 7)
                        .result()
                        .kind(),
                is(expected));
    }

    @ParameterizedTest
    @CsvSource({"CLAIMED,KEY_REUSED", "ANSWERED,KEY_REUSED", "UNKNOWN,KEY_REUSED", "NOT_RUN,GRANTED"})
    void rejectsKeyReusedForDifferentRequest(ClaimState state, ClaimResult.Kind expected) {
        assertThat(
                OpenClaim.apply(ClaimFixtures.slotIn(state), ClaimFixtures.open("t2", "print-2"), 7)
                        .result()
                        .kind(),
                is(expected));
    }
}
