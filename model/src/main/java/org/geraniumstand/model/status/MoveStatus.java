package org.geraniumstand.model.status;

import org.geraniumstand.model.config.VersionMove;

/**
 * Reports a version move and the evidence about both versions.
 *
 * @param move the version move
 * @param sharePercent current traffic share of the new version, in percent, or -1 if unknown
 * @param oldRequests completed attempts at the old version
 * @param oldFailures failed attempts at the old version
 * @param newRequests completed attempts at the new version
 * @param newFailures failed attempts at the new version
 */
public record MoveStatus(
        VersionMove move,
        double sharePercent,
        long oldRequests,
        long oldFailures,
        long newRequests,
        long newFailures) {}
