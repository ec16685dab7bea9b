package org.geraniumstand.standins;

import org.geraniumstand.model.fleet.BackendServer;

/** Starts what runs on a host that was ordered from the cloud. */
public interface HostLauncher {
    /** Starts nothing, so that the host runs without a backend server. */
    HostLauncher NONE = (_host, _order) -> null;

    /**
     * Starts a backend server.
     *
     * @param host name of the host
     * @param order what was ordered
     * @return the backend server, or null for none
     */
    Launched launch(String host, HostOrder order);

    /**
     * A backend server that was started.
     *
     * @param server how it is listed
     * @param process ends it
     */
    record Launched(BackendServer server, AutoCloseable process) {}

    /**
     * An order of a host.
     *
     * @param dataCentre where it shall run
     * @param hostClass its class
     * @param reclaimable whether the cloud may take it back
     * @param service the service that shall run on it
     * @param version the version of that service
     * @param fence the fencing number of the order
     */
    record HostOrder(
            String dataCentre, String hostClass, boolean reclaimable, String service, String version, long fence) {}
}
