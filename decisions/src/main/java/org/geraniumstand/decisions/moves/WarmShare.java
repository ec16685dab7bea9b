package org.geraniumstand.decisions.moves;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Service;

/** Decides how much of a service's traffic the new version's servers can bear. */
@Decision(
        name = "warm-share",
        summary = "The new version gets no more traffic than its servers can bear, warm and cold ones counted apart.")
final class WarmShare {
    /** Capacity kept free, as a multiple of the demand. */
    private static final double HEADROOM = 1.1;

    private WarmShare() {}

    /**
     * Returns the share that the servers can bear, from 0 to 1.
     *
     * @param service limits of the service's servers
     * @param warm usable warm servers of the new version
     * @param cold usable cold servers of the new version
     * @param demand requests of the service in flight on average, over all processes
     */
    static double of(Service service, int warm, int cold, double demand) {
        double capacity = warm * (double) service.maxConcurrency() + cold * (double) service.coldConcurrency();
        if (capacity <= 0) {
            return 0;
        }
        return Math.min(1, capacity / Math.max(1e-9, demand * HEADROOM));
    }
}
