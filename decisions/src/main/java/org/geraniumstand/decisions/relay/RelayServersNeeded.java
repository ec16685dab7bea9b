package org.geraniumstand.decisions.relay;

import java.util.HashMap;
import java.util.Map;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.time.Moment;

/** Decides how many servers the demand needs; it belongs to one thread. */
@Decision(
        name = "relay-servers-needed",
        summary =
                "A service needs a server for each part of the measured demand and one to spare; until demand has been"
                        + " measured for a while, no fewer than were found, as far as the teams' quotas allow to use them.")
public final class RelayServersNeeded {
    /**
     * Tokens a second of measured demand that a server bears with first tokens in good time: it reads 93,600, and about half
     * of all tokens are in caches. Demand is measured some 40% high, as it rises fast and falls slowly. At 56,000 the calls of
     * a small twin of the grown site came on time, at twice that half of them came late.
     */
    private static final double TOKENS_PER_SERVER = 60_000;

    /** Servers beside those that the load needs; one may crash at any time. */
    private static final int SPARE_SERVERS = 1;

    /** Milliseconds of demand after which it counts as measured; its rise is averaged over 2,000. */
    private static final long MEASURED_MILLIS = 5_000;

    private final Map<ServiceId, Integer> maxFound = new HashMap<>();
    private boolean demandSeen;
    private long demandSinceNanos;

    /** Creates a decision without any demand seen. */
    public RelayServersNeeded() {}

    /**
     * Takes in the demand.
     *
     * @param tokensPerSecond tokens that callers ask for a second
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onDemand(double tokensPerSecond, long nowNanos) {
        if (!demandSeen && tokensPerSecond > 0) {
            demandSeen = true;
            demandSinceNanos = nowNanos;
        }
    }

    /**
     * Returns how many servers a service needs.
     *
     * @param service the service
     * @param tokensPerSecond tokens that callers ask for a second
     * @param found its servers that were found and are left if a data centre loses its reclaimable ones
     * @param allowedPerSecond tokens a second that the teams' quotas allow
     * @param dataCentres data centres in which it may have servers; each has one at least
     * @param nowNanos the monotonic time in nanoseconds
     */
    public int decide(
            ServiceId service,
            double tokensPerSecond,
            int found,
            double allowedPerSecond,
            int dataCentres,
            long nowNanos) {
        int needed = (int) serversForDemand(tokensPerSecond, dataCentres);
        if (isDemandMeasured(nowNanos)) {
            return needed;
        }
        // Entries are read one after the other, so that the first look may show a few of the servers only.
        int retained = (int) Math.min(maxFound.merge(service, found, Math::max), serversForDemand(allowedPerSecond, dataCentres));
        return Math.max(needed, retained);
    }

    private static double serversForDemand(double tokensPerSecond, int dataCentres) {
        return SPARE_SERVERS + Math.max(dataCentres, Math.ceil(tokensPerSecond / TOKENS_PER_SERVER));
    }

    private boolean isDemandMeasured(long nowNanos) {
        return demandSeen && nowNanos - demandSinceNanos > MEASURED_MILLIS * Moment.NANOS_PER_MILLI;
    }
}
