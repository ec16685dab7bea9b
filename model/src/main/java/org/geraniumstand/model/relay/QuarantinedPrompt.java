package org.geraniumstand.model.relay;

import java.util.List;

/**
 * Describes the prompts that are kept from servers because servers crashed when they began to answer them.
 *
 * @param parts the parts that such a prompt contains, all of them
 * @param crashAgeMillis milliseconds since the newest crash
 * @param trialInMillis milliseconds until a request may be sent to test the parts; negative if one may be sent now
 * @param trials number of requests that were sent to test the parts
 */
public record QuarantinedPrompt(List<ServicePart> parts, long crashAgeMillis, long trialInMillis, int trials) {
    /** Copies the list. */
    public QuarantinedPrompt {
        parts = List.copyOf(parts);
    }
}
