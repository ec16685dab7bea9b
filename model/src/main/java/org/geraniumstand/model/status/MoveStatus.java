package org.geraniumstand.model.status;

import org.geraniumstand.model.config.VersionMove;

/**
 * A version move and the evidence about both versions.
 *
 * @param move the move
 * @param sharePercent share of the new version now, in percent, or -1 where that is not known
 * @param oldRequests attempts that ended at the old version
 * @param oldFailures attempts that failed there
 * @param newRequests attempts that ended at the new version
 * @param newFailures attempts that failed there
 */
public record MoveStatus(
        VersionMove move,
        double sharePercent,
        long oldRequests,
        long oldFailures,
        long newRequests,
        long newFailures) {}
