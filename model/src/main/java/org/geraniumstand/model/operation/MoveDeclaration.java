package org.geraniumstand.model.operation;

import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/**
 * Orders the shift of a service's traffic from its current version to another one.
 *
 * @param id identifier of the move, or null to derive one from service and version
 * @param service the service whose traffic is shifted
 * @param to the version that receives the traffic after the move
 * @param startEpochMillis when the move starts, in milliseconds since 1970; zero to start at once
 * @param deadlineEpochMillis when it must be completed or withdrawn, in milliseconds since 1970
 * @param firstSharePercent maximum traffic share of the new version until the evidence about it suffices, in percent
 */
public record MoveDeclaration(
        MoveId id,
        ServiceId service,
        VersionId to,
        long startEpochMillis,
        long deadlineEpochMillis,
        int firstSharePercent) {}
