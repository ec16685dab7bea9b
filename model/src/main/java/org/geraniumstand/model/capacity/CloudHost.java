package org.geraniumstand.model.capacity;

import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/**
 * Describes a host as the cloud provider reports it.
 *
 * @param host the host
 * @param dataCentre the data centre that it runs in
 * @param hostClass the host class
 * @param reclaimable whether the cloud provider may reclaim it at short notice
 * @param service the service that it was ordered for
 * @param version the version that it was ordered with
 * @param state its lifecycle state
 */
public record CloudHost(
        HostId host,
        DataCentreId dataCentre,
        String hostClass,
        boolean reclaimable,
        ServiceId service,
        VersionId version,
        State state) {
    /** Lifecycle state of a host. */
    public enum State {
        /** The host was ordered and is not running yet. */
        STARTING,
        /** The host is running. */
        RUNNING,
        /** The host was ordered to stop or is being reclaimed. */
        STOPPING
    }
}
