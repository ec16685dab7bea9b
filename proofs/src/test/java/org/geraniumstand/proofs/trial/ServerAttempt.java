package org.geraniumstand.proofs.trial;

import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.RequestInfo;

/** Tracks an attempt at a simulated backend server. */
final class ServerAttempt {
    /** Receives the progress of an attempt. */
    interface Listener {
        void onFirstToken();

        void onToken();

        void onEnd(AttemptEnd end, int cachedTokens);
    }

    final RequestInfo requestInfo;
    final int answerTokens;
    final int resumedTokens;
    final boolean kvCacheCopied;
    final Listener listener;
    double prefillLeft;
    int cachedTokens;
    int produced;
    boolean started;
    boolean acceptedCold;

    /**
     * Creates an attempt.
     *
     * @param requestInfo properties of the request
     * @param answerTokens number of tokens that remain to be generated
     * @param resumedTokens number of tokens that earlier attempts generated and that must be prefilled again
     * @param kvCacheCopied whether the KV cache was copied from another server
     * @param listener receives the progress of the attempt
     */
    ServerAttempt(
            RequestInfo requestInfo, int answerTokens, int resumedTokens, boolean kvCacheCopied, Listener listener) {
        this.requestInfo = requestInfo;
        this.answerTokens = answerTokens;
        this.resumedTokens = resumedTokens;
        this.kvCacheCopied = kvCacheCopied;
        this.listener = listener;
    }

    boolean plain() {
        return requestInfo.promptTokens() == 0;
    }
}
