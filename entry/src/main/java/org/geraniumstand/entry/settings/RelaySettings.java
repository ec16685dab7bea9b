package org.geraniumstand.entry.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import org.geraniumstand.model.id.DataCentreId;

/**
 * Holds the settings of a process that relays requests without interpreting their bodies.
 *
 * @param name name of the host
 * @param dataCentre data centre of the process
 * @param callers listener for callers
 * @param readiness listener for the load balancer's health checks
 * @param peers listener for other entry processes
 * @param metrics listener for metrics
 * @param peerKey secret key shared by all entry processes
 * @param seeds addresses of other entry processes to connect to first, as {@code IP:port}
 * @param store URL of the platform's store
 * @param cloud URL of the cloud API
 * @param bounds bounds that the operators set
 */
public record RelaySettings(
        String name,
        DataCentreId dataCentre,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        InetSocketAddress peers,
        InetSocketAddress metrics,
        String peerKey,
        List<String> seeds,
        URI store,
        URI cloud,
        Bounds bounds) {
    /** Makes a defensive copy of the list. */
    public RelaySettings {
        seeds = List.copyOf(seeds);
    }

    /** Omits the key, so that it does not appear in logs. */
    @Override
    public String toString() {
        return "RelaySettings[name=" + name + ", dataCentre=" + dataCentre + "]";
    }

    /**
     * Limits on shutdown, retries, quotas, draining, recovery, leases and usage reports.
     *
     * @param stopSeconds time from the shutdown request until the process is terminated, in seconds
     * @param repeatRatio retries allowed per request of a service
     * @param repeatSlack retries allowed in addition to the ratio, over all processes
     * @param repeatWindowSeconds window over which retries are counted, in seconds
     * @param quotaSlack units by which a team may exceed its quota
     * @param quotaOverrun fraction by which a team may exceed its quota
     * @param drainMillis time for which a draining server may still receive requests, in milliseconds
     * @param contactMillis time after a disruption from which the other bounds must hold again, in milliseconds
     * @param leaseMillis duration of a leadership lease, in milliseconds
     * @param usageWindowSeconds length of a usage window, in seconds
     * @param usageLateSeconds time after the end of a window within which its usage must be reported, in seconds
     */
    public record Bounds(
            double stopSeconds,
            double repeatRatio,
            double repeatSlack,
            double repeatWindowSeconds,
            double quotaSlack,
            double quotaOverrun,
            int drainMillis,
            int contactMillis,
            int leaseMillis,
            double usageWindowSeconds,
            double usageLateSeconds) {}
}
