package org.geraniumstand.model.capacity;

import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/**
 * A host that shall exist.
 *
 * @param host its name, chosen by who orders it, so that repeating the order starts no second one
 * @param dataCentre where it shall be
 * @param hostClass its class
 * @param reclaimable whether the cloud may take it back at short notice
 * @param service the service that it shall offer
 * @param version the version that it shall run
 */
public record HostOrder(
        HostId host,
        DataCentreId dataCentre,
        String hostClass,
        boolean reclaimable,
        ServiceId service,
        VersionId version) {}
