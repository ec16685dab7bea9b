package org.geraniumstand.http.opaque;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.relay.CallKind;

/** Tells what to do with the body of one attempt's answer. */
@Decision(
        name = "body-handling",
        summary = "Decides at the head of an answer whether its body is relayed by events, kept, or not read.")
enum BodyHandling {
    /** Relay each event of a stream once it is complete. */
    RELAY_EVENTS,

    /** Keep the body until it is complete, so that another attempt can replace the answer. */
    BUFFER,

    /** Relay each part as it arrives. */
    RELAY,

    /** Use no byte of the body, and end the attempt. */
    REJECT;

    /**
     * Decides what to do with a body when its head has arrived.
     *
     * @param success whether the head is that of a signed success
     * @param kind the kind of the call
     * @param begun whether the caller has received a part of an earlier attempt's answer
     */
    static BodyHandling of(boolean success, CallKind kind, boolean begun) {
        if (success && kind == CallKind.STREAM) {
            return RELAY_EVENTS;
        }
        // Only a resumed stream continues the answer of an earlier attempt.
        return begun ? REJECT : BUFFER;
    }
}
