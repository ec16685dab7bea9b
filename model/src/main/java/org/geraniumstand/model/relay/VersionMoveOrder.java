package org.geraniumstand.model.relay;

import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/**
 * Describes an operator's order to move a service's calls to a version.
 *
 * @param service the service to move
 * @param target the version to move to
 * @param durationMillis maximum duration of the move, in milliseconds
 */
public record VersionMoveOrder(ServiceId service, VersionId target, long durationMillis) {}
