package org.geraniumstand.model.relay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Holds the information that the relay reads from the headers of a caller's request.
 *
 * @param attempt the caller's identifier of this attempt, or empty
 * @param apiKey the caller's API key, if any
 * @param timeoutMillis the caller's timeout in milliseconds, if given
 * @param lastEventId identifier of the last event that the caller received, if it resumes a stream
 * @param promptTokens number of prompt tokens, zero for plain calls
 * @param answerTokens maximum number of answer tokens, zero for plain calls
 * @param hasTokenCounts whether the caller gave the two token counts
 * @param promptParts the shareable parts of the prompt, in order
 */
public record CallerHead(
        String attempt,
        Optional<String> apiKey,
        OptionalLong timeoutMillis,
        Optional<String> lastEventId,
        int promptTokens,
        int answerTokens,
        boolean hasTokenCounts,
        List<PromptPart> promptParts) {
    /** Makes a defensive copy of the list. */
    public CallerHead {
        promptParts = List.copyOf(promptParts);
    }

    /** Returns the parts of the prompt that other requests may share, which are all but the last. */
    public List<PromptPart> sharedParts() {
        return promptParts.isEmpty() ? promptParts : promptParts.subList(0, promptParts.size() - 1);
    }

    /** Omits the API key. */
    @Override
    public String toString() {
        return "CallerHead[attempt=" + attempt + "]";
    }
}
