package org.geraniumstand.entry.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import org.geraniumstand.model.id.DataCentreId;

/**
 * The settings of a process that relays calls as they are.
 *
 * @param name the host's name
 * @param dataCentre where the process runs
 * @param callers listener for callers
 * @param readiness listener for the balancer's check
 * @param peers listener for other entry processes
 * @param metrics listener for metrics
 * @param peerKey key that all entry processes share
 * @param seeds addresses of other entry processes to try first, as {@code IP:port}
 * @param store where the store listens
 * @param cloud where the cloud API listens
 * @param bounds the bounds that must hold
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
    /** Copies the list. */
    public RelaySettings {
        seeds = List.copyOf(seeds);
    }

    /** Hides the key. */
    @Override
    public String toString() {
        return "RelaySettings[name=" + name + ", dataCentre=" + dataCentre + "]";
    }

    /**
     * Bounds that operators set.
     *
     * @param stopSeconds time from the request to stop until the process is ended, in seconds
     * @param repeatRatio repeats allowed for each request of a service
     * @param repeatSlack repeats allowed beside that, over all processes
     * @param repeatWindowSeconds window in which repeats are counted, in seconds
     * @param quotaSlack units by which a team may exceed its quota
     * @param quotaOverrun part by which a team may exceed its quota
     * @param drainMillis time for which a server that leaves may still get requests, in milliseconds
     * @param contactMillis time after a disruption from which the other bounds hold again, in milliseconds
     * @param leaseMillis time that a duty's lease holds, in milliseconds
     * @param usageWindowSeconds length of a window of usage, in seconds
     * @param usageLateSeconds time after a window in which its usage is due, in seconds
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
