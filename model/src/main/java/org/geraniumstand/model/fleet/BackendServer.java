package org.geraniumstand.model.fleet;

import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/**
 * Describes a backend server as listed by the platform.
 *
 * @param id identifier of the backend server
 * @param service the service that it offers
 * @param version the version that it runs
 * @param dataCentre the data centre that it runs in
 * @param host the host that it runs on
 * @param hostClass the class of the host
 * @param reclaimable whether the cloud provider may reclaim the host at short notice
 * @param centsPerHour price per host-hour, in hundredths of the currency unit
 * @param address IP address that it listens on
 * @param port port that it listens on
 * @param leaving whether the platform reports that it is being removed
 */
public record BackendServer(
        ServerId id,
        ServiceId service,
        VersionId version,
        DataCentreId dataCentre,
        HostId host,
        String hostClass,
        boolean reclaimable,
        int centsPerHour,
        String address,
        int port,
        boolean leaving) {}
