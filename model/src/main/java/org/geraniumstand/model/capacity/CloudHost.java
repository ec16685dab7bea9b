package org.geraniumstand.model.capacity;

import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/**
 * A host as the cloud knows it.
 *
 * @param host the host
 * @param dataCentre where it is
 * @param hostClass its class
 * @param reclaimable whether the cloud may take it back at short notice
 * @param service the service that it was started for
 * @param version the version that it was started with
 * @param state where it stands
 */
public record CloudHost(
        HostId host,
        DataCentreId dataCentre,
        String hostClass,
        boolean reclaimable,
        ServiceId service,
        VersionId version,
        State state) {
    /** Where a host stands. */
    public enum State {
        /** It was ordered and does not run yet. */
        STARTING,
        /** It runs. */
        RUNNING,
        /** It was ordered to stop or is being reclaimed. */
        STOPPING
    }
}
