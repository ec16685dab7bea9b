package org.geraniumstand.decisions.orders;

import org.geraniumstand.model.id.ProcessId;

/**
 * The record that keeps an order from being dispatched twice.
 *
 * @param key digest of the team and its idempotency key
 * @param fingerprint digest of method, path and body
 * @param state where the order stands
 * @param token names the one request that may dispatch the order
 * @param holder the process that serves that request
 * @param atEpochMillis when it was claimed, in milliseconds since 1970
 * @param answer the answer, or {@link RecordedAnswer#NONE}
 */
public record Claim(
        String key,
        String fingerprint,
        ClaimState state,
        String token,
        ProcessId holder,
        long atEpochMillis,
        RecordedAnswer answer) {
    /**
     * Returns this claim in another state.
     *
     * @param next the state
     * @param given the answer, or {@link RecordedAnswer#NONE}
     */
    public Claim in(ClaimState next, RecordedAnswer given) {
        return new Claim(key, fingerprint, next, token, holder, atEpochMillis, given);
    }
}
