package org.geraniumstand.decisions.capacity;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Preset;

/** Computes how many servers of a service must remain after the loss of any one data centre. */
@Decision(
        name = "servers-needed",
        summary = "A service needs enough servers to carry its load at the target utilization, at least one, plus its"
                + " spare servers.")
public final class ServersNeeded {
    /** Planned fraction of a server's maximum concurrency; queues grow fast above this utilization. */
    private static final double TARGET_UTILIZATION = 0.7;

    private ServersNeeded() {}

    /**
     * Returns the number of servers that must remain.
     *
     * @param preset the preset in force, which defines the number of spare servers
     * @param serviceLoad load of the service version
     */
    public static int of(Preset preset, ServiceLoad serviceLoad) {
        double concurrencyPerServer = Math.max(1, serviceLoad.service().maxConcurrency()) * TARGET_UTILIZATION;
        int serversForLoad = (int) Math.ceil(serviceLoad.inFlight() / concurrencyPerServer);
        return Math.max(1, serversForLoad) + preset.spareServers();
    }
}
