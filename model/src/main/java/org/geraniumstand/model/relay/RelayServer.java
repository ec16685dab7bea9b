package org.geraniumstand.model.relay;

import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/**
 * A backend server as it describes itself.
 *
 * @param id the server
 * @param bornMillis when this incarnation started, in milliseconds since 1970, or zero if it does not say
 * @param service the service that it offers
 * @param address IP number that it listens on
 * @param port port that it listens on
 * @param dataCentre where it runs
 * @param version the version of its software
 * @param slots requests that run at once
 * @param leaving whether it takes no more new work
 * @param coldMillis how much longer it was cold when it said so, in milliseconds
 * @param reclaimable whether the cloud may take it back at short notice
 */
public record RelayServer(
        ServerId id,
        long bornMillis,
        ServiceId service,
        String address,
        int port,
        DataCentreId dataCentre,
        VersionId version,
        int slots,
        boolean leaving,
        long coldMillis,
        boolean reclaimable) {
    /**
     * Returns the same server that is cold for another time.
     *
     * @param millis how much longer it is cold, in milliseconds
     */
    public RelayServer withColdMillis(long millis) {
        return new RelayServer(
                id, bornMillis, service, address, port, dataCentre, version, slots, leaving, millis, reclaimable);
    }

    // The methods that the compiler generates are linked at run time, which costs each start some milliseconds a type.
    @Override
    public boolean equals(Object other) {
        return other instanceof RelayServer same
                && id.equals(same.id)
                && bornMillis == same.bornMillis
                && service.equals(same.service)
                && address.equals(same.address)
                && port == same.port
                && dataCentre.equals(same.dataCentre)
                && version.equals(same.version)
                && slots == same.slots
                && leaving == same.leaving
                && coldMillis == same.coldMillis
                && reclaimable == same.reclaimable;
    }

    @Override
    public int hashCode() {
        return id.hashCode();
    }
}
