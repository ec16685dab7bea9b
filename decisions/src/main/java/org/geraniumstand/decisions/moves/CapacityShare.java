package org.geraniumstand.decisions.moves;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Service;

/** Limits the new version's share of traffic to the capacity of its servers. */
@Decision(
        name = "warm-share",
        summary = "The new version receives no more traffic than its warm and cold servers have capacity for.")
final class CapacityShare {
    /** Required capacity as a multiple of the demand. */
    private static final double HEADROOM = 1.1;

    private CapacityShare() {}

    /**
     * Returns the share of traffic that the servers have capacity for, from 0 to 1.
     *
     * @param service the service, with the concurrency limits of its warm and cold servers
     * @param warm usable warm servers of the new version
     * @param cold usable cold servers of the new version
     * @param meanInFlight mean number of requests of the service in flight, over all processes
     */
    static double of(Service service, int warm, int cold, double meanInFlight) {
        double capacity = warm * (double) service.maxConcurrency() + cold * (double) service.coldConcurrency();
        if (capacity <= 0) {
            return 0;
        }
        return Math.min(1, capacity / Math.max(1e-9, meanInFlight * HEADROOM));
    }
}
