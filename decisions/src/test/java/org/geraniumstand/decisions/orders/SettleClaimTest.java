package org.geraniumstand.decisions.orders;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.sameInstance;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SettleClaimTest {
    @ParameterizedTest
    @CsvSource({
        "CLAIMED,ANSWERED,ANSWERED",
        "CLAIMED,NOT_RUN,NOT_RUN",
        "CLAIMED,UNKNOWN,UNKNOWN",
        "UNKNOWN,ANSWERED,ANSWERED",
        "UNKNOWN,NOT_RUN,NOT_RUN",
        "ANSWERED,NOT_RUN,ANSWERED",
        "ANSWERED,UNKNOWN,ANSWERED",
        "NOT_RUN,ANSWERED,NOT_RUN"
    })
    void settlesClaimWithMatchingToken(ClaimState before, ClaimChange.Kind kind, ClaimState after) {
        ChangedSlot changed = SettleClaim.apply(ClaimFixtures.slotIn(before), ClaimFixtures.settle("t1", kind), 7);

        assertThat(changed.slot().find(ClaimFixtures.KEY).orElseThrow().state(), is(after));
        assertThat(changed.result().kind(), is(ClaimResult.Kind.SETTLED));
    }

    @Test
    void ignoresDifferentToken() {
        ClaimSlot slot = ClaimFixtures.slotIn(ClaimState.CLAIMED);

        assertThat(
                SettleClaim.apply(slot, ClaimFixtures.settle("t2", ClaimChange.Kind.NOT_RUN), 7)
                        .slot(),
                sameInstance(slot));
    }

    @Test
    void leavesTombstoneForClaimWriteStillInFlight() {
        ChangedSlot changed =
                SettleClaim.apply(ClaimSlot.EMPTY, ClaimFixtures.settle("t1", ClaimChange.Kind.NOT_RUN), 7);

        assertThat(
                OpenClaim.apply(changed.slot(), ClaimFixtures.open("t1"), 8)
                        .result()
                        .kind(),
                is(ClaimResult.Kind.GIVEN_UP));
        assertThat(
                OpenClaim.apply(changed.slot(), ClaimFixtures.open("t2"), 8)
                        .result()
                        .kind(),
                is(ClaimResult.Kind.GRANTED));
    }

    @Test
    void replacesTombstoneOfAnotherRequest() {
        ClaimSlot slot = ClaimFixtures.slotIn(ClaimState.NOT_RUN);
        ChangedSlot changed = SettleClaim.apply(slot, ClaimFixtures.settle("t2", ClaimChange.Kind.NOT_RUN), 7);

        assertThat(changed.slot().find(ClaimFixtures.KEY).orElseThrow().token(), is("t2"));
    }

    @Test
    void doesNotOverwriteRecordedAnswer() {
        ClaimSlot slot = ClaimFixtures.slotIn(ClaimState.ANSWERED);
        ClaimChange other = ClaimFixtures.open("t1").settle(ClaimChange.Kind.ANSWERED, ClaimFixtures.answer("another"));

        assertThat(SettleClaim.apply(slot, other, 7).slot(), sameInstance(slot));
    }
}
