package org.geraniumstand.model.fleet;

import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/**
 * A backend server as the platform lists it.
 *
 * @param id the backend server
 * @param service the service that it offers
 * @param version the version that it runs
 * @param dataCentre where it is
 * @param host the host that it runs on
 * @param hostClass the class of that host
 * @param reclaimable whether the cloud may take the host back at short notice
 * @param centsPerHour price of the host in hundredths of the currency unit an hour
 * @param address IP number that it listens on
 * @param port port that it listens on
 * @param leaving whether the platform says that it leaves
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
