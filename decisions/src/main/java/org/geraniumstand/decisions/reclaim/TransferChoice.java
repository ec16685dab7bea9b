package org.geraniumstand.decisions.reclaim;

import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.decisions.routing.LatencyModel;

/** Selects how the state of a request is transferred to another backend server. */
@Decision(
        name = "transfer",
        summary =
                "The KV cache of a request is copied to the new server if copying takes less time than recomputing the"
                        + " missing tokens.")
public final class TransferChoice {
    private static final double KV_COPY_SETUP_MILLIS = 40;
    private static final double KV_COPY_MILLIS_PER_TOKEN = 0.03;

    private TransferChoice() {}

    /**
     * Returns the faster way to transfer a request.
     *
     * @param started whether the old server has sent the first byte of the answer, and so has computed the prompt
     * @param contextTokens number of tokens in the prompt and in the answer so far
     * @param uncached number of these tokens that the new server would have to recompute
     * @param latency latency model of the new server's host class
     */
    public static Action.Transfer select(boolean started, int contextTokens, double uncached, LatencyModel latency) {
        if (!started) {
            return Action.Transfer.RESUME;
        }
        double copyMillis = KV_COPY_SETUP_MILLIS + KV_COPY_MILLIS_PER_TOKEN * contextTokens;
        double recomputeMillis = uncached * latency.prefillMillisPerToken();
        return copyMillis < recomputeMillis ? Action.Transfer.KV_CACHE : Action.Transfer.RESUME;
    }
}
