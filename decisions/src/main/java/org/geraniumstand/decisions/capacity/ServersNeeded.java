package org.geraniumstand.decisions.capacity;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Preset;

/** Decides how many servers must be left of a service whatever data centre is lost. */
@Decision(
        name = "servers-needed",
        summary = "A service needs servers for its load at a set utilization, its spare ones, and never none.")
public final class ServersNeeded {
    /** Part of what a server can bear that is planned to be used; queues grow fast beyond it. */
    private static final double UTILIZATION = 0.7;

    private ServersNeeded() {}

    /**
     * Returns the servers that must be left.
     *
     * @param preset the preset in force
     * @param need what the service needs
     */
    public static int of(Preset preset, ServiceNeed need) {
        double bears = Math.max(1, need.service().maxConcurrency()) * UTILIZATION;
        int load = (int) Math.ceil(need.inFlight() / bears);
        return Math.max(1, load) + preset.spareServers();
    }
}
