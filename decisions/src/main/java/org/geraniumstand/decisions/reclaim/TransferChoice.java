package org.geraniumstand.decisions.reclaim;

import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.decisions.routing.Pace;

/** Chooses how work moves to another backend server. */
@Decision(
        name = "transfer",
        summary = "Work moves by its KV cache where copying that is cheaper than computing the missing tokens again.")
public final class TransferChoice {
    private static final double COPY_START_MILLIS = 40;
    private static final double COPY_MILLIS_PER_TOKEN = 0.03;

    private TransferChoice() {}

    /**
     * Chooses how work moves.
     *
     * @param started whether the old server has computed the prompt
     * @param contextTokens tokens of the prompt and the answer so far
     * @param uncached those of them that the new server would have to compute
     * @param pace what is known of the new server's class
     */
    public static Action.Transfer of(boolean started, int contextTokens, double uncached, Pace pace) {
        if (!started) {
            return Action.Transfer.RESUME;
        }
        double copy = COPY_START_MILLIS + COPY_MILLIS_PER_TOKEN * contextTokens;
        double compute = uncached * pace.prefillMillis();
        return copy < compute ? Action.Transfer.KV_CACHE : Action.Transfer.RESUME;
    }
}
