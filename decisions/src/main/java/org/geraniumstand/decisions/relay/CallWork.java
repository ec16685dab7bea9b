package org.geraniumstand.decisions.relay;

/** Estimates the work that a call needs, to compare calls of the same service. */
final class CallWork {
    /** Work of an answer token in prompt tokens: prompts are read at once, answers are written token by token. */
    private static final long PROMPT_TOKENS_PER_ANSWER_TOKEN = 10;

    private CallWork() {}

    /** Returns the work of a call in prompt tokens, and 1 for a call without token counts. */
    static double of(RelayCall call) {
        long answer = PROMPT_TOKENS_PER_ANSWER_TOKEN * Math.max(0, call.head().answerTokens());
        return Math.max(1, Math.max(0, call.head().promptTokens()) + (double) answer);
    }
}
