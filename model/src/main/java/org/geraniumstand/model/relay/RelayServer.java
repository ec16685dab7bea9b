package org.geraniumstand.model.relay;

import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/**
 * Describes a backend server as the server registers itself.
 *
 * @param id identifier of the server
 * @param startEpochMillis when this run of the server started, in milliseconds since 1970, or zero if the server does not
 *     state it
 * @param service the service that it provides
 * @param address IP address that it listens on
 * @param port port that it listens on
 * @param dataCentre the data centre that it runs in
 * @param version the version of its software
 * @param slots maximum number of concurrently running requests
 * @param draining whether it is draining and accepts no new requests
 * @param coldRemainingMillis remaining warm-up time at the time of its registration, in milliseconds
 * @param reclaimable whether the cloud provider may reclaim it at short notice
 */
public record RelayServer(
        ServerId id,
        long startEpochMillis,
        ServiceId service,
        String address,
        int port,
        DataCentreId dataCentre,
        VersionId version,
        int slots,
        boolean draining,
        long coldRemainingMillis,
        boolean reclaimable) {
    /**
     * Returns a copy of this server with another remaining warm-up time.
     *
     * @param millis remaining warm-up time, in milliseconds
     */
    public RelayServer withColdRemainingMillis(long millis) {
        return new RelayServer(
                id,
                startEpochMillis,
                service,
                address,
                port,
                dataCentre,
                version,
                slots,
                draining,
                millis,
                reclaimable);
    }

    /** Returns the address and port of the server, separated by a colon. */
    public String endpoint() {
        return address + ":" + port;
    }

    // Compiler-generated record methods are linked at run time, which adds some milliseconds per type to each start.
    @Override
    public boolean equals(Object other) {
        return other instanceof RelayServer same
                && id.equals(same.id)
                && startEpochMillis == same.startEpochMillis
                && service.equals(same.service)
                && address.equals(same.address)
                && port == same.port
                && dataCentre.equals(same.dataCentre)
                && version.equals(same.version)
                && slots == same.slots
                && draining == same.draining
                && coldRemainingMillis == same.coldRemainingMillis
                && reclaimable == same.reclaimable;
    }

    @Override
    public int hashCode() {
        return id.hashCode();
    }
}
