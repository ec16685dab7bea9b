package org.geraniumstand.standins;

import org.geraniumstand.model.fleet.BackendServer;

/** Starts the backend server of a host that was ordered from the cloud. */
public interface HostLauncher {
    /** Starts no backend server, so that the host runs without one. */
    HostLauncher NONE = (_host, _order) -> null;

    /**
     * Starts a backend server.
     *
     * @param host name of the host
     * @param order the order of the host
     * @return the backend server, or null for none
     */
    Launched launch(String host, HostOrder order);

    /**
     * Holds a started backend server.
     *
     * @param server the entry of the server in the host list
     * @param process stops the server when closed
     */
    record Launched(BackendServer server, AutoCloseable process) {}

    /**
     * Describes an order of a host.
     *
     * @param dataCentre data centre of the host
     * @param hostClass class of the host
     * @param reclaimable whether the cloud may reclaim the host
     * @param service service to run on the host
     * @param version version of the service
     * @param fence fencing token of the order
     */
    record HostOrder(
            String dataCentre, String hostClass, boolean reclaimable, String service, String version, long fence) {}
}
