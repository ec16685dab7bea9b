package org.geraniumstand.model.capacity;

import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/**
 * Specifies a host that the cloud provider is ordered to run.
 *
 * @param host its name, chosen by the sender of the order so that a repeated order starts no second host
 * @param dataCentre the data centre to start it in
 * @param hostClass the host class
 * @param reclaimable whether the cloud provider may reclaim it at short notice
 * @param service the service to run on it
 * @param version the version to run on it
 */
public record HostOrder(
        HostId host,
        DataCentreId dataCentre,
        String hostClass,
        boolean reclaimable,
        ServiceId service,
        VersionId version) {}
