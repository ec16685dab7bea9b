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
    void keepsClaimsUntilRetentionExpires() {
        ClaimSlot slot = ClaimFixtures.slotIn(ClaimState.ANSWERED);

        assertThat(DropOldClaims.apply(slot, DropOldClaims.RETENTION_MILLIS).claims(), hasSize(1));
        assertThat(DropOldClaims.apply(slot, DropOldClaims.RETENTION_MILLIS + 1).claims(), hasSize(0));
    }

    @Test
    void dropsOldestBodiesFromOversizedSlot() {
        List<Claim> claims = new ArrayList<>();
        String body = "x".repeat(RecordedAnswer.MAX_BODY_BYTES);
        for (int i = 0; i < 200; i++) {
            claims.add(new Claim(
                    "k" + i, "f", ClaimState.ANSWERED, "t", new ProcessId("p"), 0, ClaimFixtures.answer(body)));
        }
        ClaimSlot trimmed = DropOldClaims.apply(new ClaimSlot(claims), 1);

        assertThat(trimmed.claims(), hasSize(200));
        assertThat(trimmed.claims().get(0).answer().kept(), is(false));
        assertThat(trimmed.claims().get(199).answer().kept(), is(true));
        assertThat(DropOldClaims.isTooLarge(trimmed), is(false));
        assertThat(DropOldClaims.isTooLarge(new ClaimSlot(claims)), is(true));
    }
}
