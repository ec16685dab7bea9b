package org.geraniumstand.model.evidence;

import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/**
 * What a row of evidence speaks about.
 *
 * @param process the process incarnation that counted
 * @param service the service
 * @param version its version
 * @param route the route
 */
public record EvidenceKey(ProcessId process, ServiceId service, VersionId version, RouteId route) {}
