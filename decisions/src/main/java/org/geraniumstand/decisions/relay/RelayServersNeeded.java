package org.geraniumstand.decisions.relay;

import java.util.HashMap;
import java.util.Map;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.time.Timestamp;

/** Computes how many servers the demand requires. Not thread-safe. */
@Decision(
        name = "relay-servers-needed",
        summary = "A service needs the servers that process the measured demand in time and one spare; "
                + "until demand has been measured for several seconds, it keeps the servers "
                + "found at the start, up to the number that the teams' full quotas require.")
public final class RelayServersNeeded {
    /**
     * Tokens per second of measured demand that one server handles with first tokens in time, as a fraction of the prompt
     * tokens that it can process in a second by its learned pace. Some tokens hit prefix caches, and measured demand is too
     * high, because it rises fast and falls slowly; but calls come unevenly, and wait for those before them. With 0.64 and
     * 0.9 a fleet that lost half of its engines by turns served 0.81 and 0.79 of its worth, with a third fewer server-seconds
     * for the latter.
     */
    private static final double DEMAND_SHARE = 0.64;

    /** Servers in addition to those that the load needs, because one may crash at any time. */
    private static final int SPARE_SERVERS = 1;

    /** Milliseconds of demand after which it counts as measured; a rise is averaged over 2,000 ms. */
    private static final long MEASURED_MILLIS = 5_000;

    private final Map<ServiceId, Integer> maxFound = new HashMap<>();
    private boolean demandSeen;
    private long demandSinceNanos;

    /** Creates an instance without observed demand. */
    public RelayServersNeeded() {}

    /**
     * Records the demand.
     *
     * @param tokensPerSecond tokens per second that callers request
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onDemand(double tokensPerSecond, long nowNanos) {
        if (!demandSeen && tokensPerSecond > 0) {
            demandSeen = true;
            demandSinceNanos = nowNanos;
        }
    }

    /**
     * Returns the number of servers that a service needs.
     *
     * @param service the service to compute the number for
     * @param tokensPerSecond tokens per second that callers request
     * @param processedPerSecond prompt tokens that one server can process in a second
     * @param found number of its servers that remain if one data centre loses its reclaimable servers
     * @param allowedPerSecond tokens per second that the teams' quotas allow
     * @param dataCentres number of data centres in which it may have servers; each has at least one
     * @param nowNanos the monotonic time in nanoseconds
     */
    public int decide(
            ServiceId service,
            double tokensPerSecond,
            double processedPerSecond,
            int found,
            double allowedPerSecond,
            int dataCentres,
            long nowNanos) {
        int needed = (int) serversForDemand(tokensPerSecond, processedPerSecond, dataCentres);
        if (isDemandMeasured(nowNanos)) {
            return needed;
        }
        // Entries are read one by one, so the first reading may show only a few of the servers.
        int retained = (int) Math.min(
                maxFound.merge(service, found, Math::max),
                serversForDemand(allowedPerSecond, processedPerSecond, dataCentres));
        return Math.max(needed, retained);
    }

    private static double serversForDemand(double tokensPerSecond, double processedPerSecond, int dataCentres) {
        return SPARE_SERVERS + Math.max(dataCentres, Math.ceil(tokensPerSecond / (DEMAND_SHARE * processedPerSecond)));
    }

    private boolean isDemandMeasured(long nowNanos) {
        return demandSeen && nowNanos - demandSinceNanos > MEASURED_MILLIS * Timestamp.NANOS_PER_MILLI;
    }
}
