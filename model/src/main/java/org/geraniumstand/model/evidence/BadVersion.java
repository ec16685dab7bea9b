package org.geraniumstand.model.evidence;

import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/**
 * Records that a version was found to be bad; it stays in effect for the rest of the version move.
 *
 * @param move the version move that introduces the version
 * @param service the service
 * @param version the version
 * @param reason why the version was found to be bad
 */
public record BadVersion(MoveId move, ServiceId service, VersionId version, String reason) {}
