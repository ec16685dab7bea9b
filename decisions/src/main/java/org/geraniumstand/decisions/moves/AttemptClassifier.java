package org.geraniumstand.decisions.moves;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.AttemptResult;

/** Classifies attempts as evidence about a version; the same rules apply to the old and the new version. */
@Decision(
        name = "attempt-counting",
        summary = "Server errors count as failures, and so do refused, broken or unresponsive connections unless the"
                + " server is draining.")
final class AttemptClassifier {
    private AttemptClassifier() {}

    /** Represents the effect of an attempt on the evidence. */
    enum Classification {
        /** Counts as a success. */
        SUCCESS,
        /** Counts as a failure immediately. */
        FAILURE,
        /**
         * Counts as a failure unless the server turns out to have been removed; the loss of a host is no evidence about
         * its version.
         */
        CONNECTION_FAILURE,
        /** Counts only as a latency: the caller cancelled after it had waited longer than the target. */
        WAITED,
        /** Is not counted. */
        NONE
    }

    /**
     * Classifies an attempt.
     *
     * @param result the result and the latencies of the attempt
     * @param usable whether the server may receive new work
     * @param targetMillis target for the time to first byte, in milliseconds
     */
    static Classification classify(AttemptResult result, boolean usable, long targetMillis) {
        AttemptEnd end = result.end();
        return switch (end) {
            case ANSWERED -> Classification.SUCCESS;
            case SERVER_ERROR -> Classification.FAILURE;
            case NOT_CONNECTED, BROKEN, SILENT -> usable ? Classification.CONNECTION_FAILURE : Classification.NONE;
            case CANCELLED ->
                result.firstByteMillis() < 0 && result.totalMillis() > targetMillis
                        ? Classification.WAITED
                        : Classification.NONE;
            case DECLINED -> Classification.NONE;
        };
    }
}
