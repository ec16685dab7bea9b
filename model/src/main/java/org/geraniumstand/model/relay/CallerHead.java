package org.geraniumstand.model.relay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the head of a caller's request says.
 *
 * @param attempt the caller's name for this attempt, or empty
 * @param key the key that it shows, if any
 * @param waitMillis how long the caller waits, in milliseconds, if it says so
 * @param lastEvent last event of a stream that the caller has, if it resumes one
 * @param promptTokens tokens of the prompt, zero for plain calls
 * @param answerTokens most tokens of the answer, zero for plain calls
 * @param counted whether the two counts were given
 * @param prompt the parts of the prompt, in order
 */
public record CallerHead(
        String attempt,
        Optional<String> key,
        OptionalLong waitMillis,
        Optional<String> lastEvent,
        int promptTokens,
        int answerTokens,
        boolean counted,
        List<PromptPart> prompt) {
    /** Copies the list. */
    public CallerHead {
        prompt = List.copyOf(prompt);
    }

    /** Hides the key. */
    @Override
    public String toString() {
        return "CallerHead[attempt=" + attempt + "]";
    }
}
