package org.geraniumstand.model.operation;

import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/**
 * Operators' order to move a service's traffic from its version to another one.
 *
 * @param id the move, or null to have it named after service and version
 * @param service the service
 * @param to the version that shall have the traffic
 * @param startEpochMillis when the move starts, in milliseconds since 1970; zero for now
 * @param deadlineEpochMillis when it must be done or withdrawn, in milliseconds since 1970
 * @param firstSharePercent largest share of the new version before evidence speaks for it, in percent
 */
public record MoveDeclaration(
        MoveId id,
        ServiceId service,
        VersionId to,
        long startEpochMillis,
        long deadlineEpochMillis,
        int firstSharePercent) {}
