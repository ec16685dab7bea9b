package org.geraniumstand.decisions.moves;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.AttemptReport;

/** Decides whether and how an attempt counts as evidence; both versions are counted alike. */
@Decision(
        name = "attempt-counting",
        summary = "Errors and broken, silent or refused connections count as failures, unless the server is leaving.")
final class AttemptCounting {
    private AttemptCounting() {}

    /** How an attempt counts. */
    enum Kind {
        /** As an attempt that worked. */
        SUCCESS,
        /** As a failure, at once. */
        FAILURE,
        /** As a failure, unless the server turns out to have left; a lost host says nothing about its version. */
        CONNECTION_FAILURE,
        /** As a latency alone: the caller left after it had waited longer than the target. */
        WAITED,
        /** Not at all. */
        NONE
    }

    /**
     * Returns how an attempt counts.
     *
     * @param report what the attempt brought
     * @param usable whether the server may take new work
     * @param targetMillis target for the first byte, in milliseconds
     */
    static Kind of(AttemptReport report, boolean usable, long targetMillis) {
        AttemptEnd end = report.end();
        return switch (end) {
            case ANSWERED -> Kind.SUCCESS;
            case SERVER_ERROR -> Kind.FAILURE;
            case NOT_CONNECTED, BROKEN, SILENT -> usable ? Kind.CONNECTION_FAILURE : Kind.NONE;
            case CANCELLED ->
                report.firstByteMillis() < 0 && report.totalMillis() > targetMillis ? Kind.WAITED : Kind.NONE;
            case DECLINED -> Kind.NONE;
        };
    }
}
