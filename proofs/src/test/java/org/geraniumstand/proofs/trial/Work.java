package org.geraniumstand.proofs.trial;

import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.RequestInfo;

/** An attempt as a fake backend server works on it. */
final class Work {
    /** Hears what the server does with an attempt. */
    interface Listener {
        void onFirst();

        void onToken();

        void onEnd(AttemptEnd end, int cachedTokens);
    }

    final RequestInfo facts;
    final int answerTokens;
    final int resumedTokens;
    final boolean copied;
    final Listener listener;
    double prefillLeft;
    int cachedTokens;
    int produced;
    boolean started;
    boolean inCold;

    /**
     * Creates an attempt.
     *
     * @param facts the request
     * @param answerTokens tokens to generate still
     * @param resumedTokens tokens that were generated before and have to be read again
     * @param copied whether the KV cache was copied from another server
     * @param listener hears of it
     */
    Work(RequestInfo facts, int answerTokens, int resumedTokens, boolean copied, Listener listener) {
        this.facts = facts;
        this.answerTokens = answerTokens;
        this.resumedTokens = resumedTokens;
        this.copied = copied;
        this.listener = listener;
    }

    boolean plain() {
        return facts.promptTokens() == 0;
    }
}
