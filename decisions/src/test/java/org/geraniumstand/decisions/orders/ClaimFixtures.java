package org.geraniumstand.decisions.orders;

import org.geraniumstand.model.id.ProcessId;

/** Creates claims, slots and changes of claims. */
final class ClaimFixtures {
    static final String KEY = "key-1";

    private ClaimFixtures() {}

    static ClaimChange open(String token) {
        return open(token, "print-1");
    }

    static ClaimChange open(String token, String fingerprint) {
        return new ClaimChange(
                ClaimChange.Kind.OPEN, KEY, fingerprint, token, new ProcessId("p-" + token), RecordedAnswer.NONE);
    }

    static ClaimChange settle(String token, ClaimChange.Kind kind) {
        return open(token).settle(kind, kind == ClaimChange.Kind.ANSWERED ? answer(token) : RecordedAnswer.NONE);
    }

    static RecordedAnswer answer(String body) {
        return new RecordedAnswer(201, "text/plain", body, "", true);
    }

    static ClaimSlot slotIn(ClaimState state) {
        Claim claim = new Claim(
                KEY,
                "print-1",
                state,
                "t1",
                new ProcessId("p-t1"),
                0,
                state == ClaimState.ANSWERED ? answer("t1") : RecordedAnswer.NONE);
        return ClaimSlot.EMPTY.with(claim);
    }
}
