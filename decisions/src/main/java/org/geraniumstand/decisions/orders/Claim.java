package org.geraniumstand.decisions.orders;

import org.geraniumstand.model.id.ProcessId;

/**
 * Records which request may dispatch an order, so that the order is not dispatched twice.
 *
 * @param key digest of the team and its idempotency key
 * @param fingerprint digest of method, path and body
 * @param state the state of the order
 * @param token identifies the only request that may dispatch the order
 * @param holder the process that serves that request
 * @param atEpochMillis when the order was claimed, in milliseconds since 1970
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
     * @param newState the new state
     * @param newAnswer the answer, or {@link RecordedAnswer#NONE}
     */
    public Claim withState(ClaimState newState, RecordedAnswer newAnswer) {
        return new Claim(key, fingerprint, newState, token, holder, atEpochMillis, newAnswer);
    }
}
