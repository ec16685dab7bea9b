package org.geraniumstand.decisions.orders;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.geraniumstand.model.id.ProcessId;
import org.junit.jupiter.api.Test;

final class DropOldClaimsTest {
    @Test
    void keepsClaimsForRetention() {
        ClaimSlot slot = Wishes.slotIn(ClaimState.ANSWERED);

        assertThat(DropOldClaims.apply(slot, DropOldClaims.RETENTION_MILLIS).claims(), hasSize(1));
        assertThat(DropOldClaims.apply(slot, DropOldClaims.RETENTION_MILLIS + 1).claims(), hasSize(0));
    }

    @Test
    void dropsOldestBodiesFromLargeSlot() {
        List<Claim> claims = new ArrayList<>();
        String body = "x".repeat(RecordedAnswer.MAX_BODY_BYTES);
        for (int i = 0; i < 200; i++) {
            claims.add(new Claim("k" + i, "f", ClaimState.ANSWERED, "t", new ProcessId("p"), 0, Wishes.answer(body)));
        }
        ClaimSlot smaller = DropOldClaims.apply(new ClaimSlot(claims), 1);

        assertThat(smaller.claims(), hasSize(200));
        assertThat(smaller.claims().get(0).answer().kept(), is(false));
        assertThat(smaller.claims().get(199).answer().kept(), is(true));
        assertThat(DropOldClaims.tooLarge(smaller), is(false));
        assertThat(DropOldClaims.tooLarge(new ClaimSlot(claims)), is(true));
    }
}
