package org.geraniumstand.model.evidence;

import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/**
 * The finding that a version is bad; it is never taken back for its move.
 *
 * @param move the move that brings the version
 * @param service the service
 * @param version the version
 * @param reason why it counts as bad
 */
public record BadMark(MoveId move, ServiceId service, VersionId version, String reason) {}
