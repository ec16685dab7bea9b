package org.geraniumstand.model.evidence;

import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/**
 * Identifies the process, version and route that evidence refers to.
 *
 * @param process the process that recorded the evidence
 * @param service the service
 * @param version the version of the service
 * @param route the route
 */
public record EvidenceKey(ProcessId process, ServiceId service, VersionId version, RouteId route) {}
