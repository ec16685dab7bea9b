package org.geraniumstand.outside.relay;

import java.util.Map;
import java.util.function.Consumer;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;

/** Provides the platform's API calls that only the current leader process makes. */
public interface LeaderApi {
    /**
     * Reports the requests that were started in a window.
     *
     * @param claim leader and fencing token of the call
     * @param window index of the window
     * @param counts number of requests by team
     * @param callback called with the outcome of the call
     */
    void reportUsage(Claim claim, long window, Map<TeamId, Long> counts, Consumer<Outcome> callback);

    /**
     * Orders a number of backend servers.
     *
     * @param claim leader and fencing token of the call
     * @param order the desired number of servers
     * @param callback called with the outcome of the call
     */
    void orderServers(Claim claim, ServerOrder order, Consumer<Outcome> callback);

    /**
     * Identifies the leader that makes a call.
     *
     * @param holder name of the process that holds the leadership
     * @param token fencing token, which increases when the holder changes
     */
    record Claim(String holder, long token) {}

    /**
     * Specifies the desired number of a service's servers in a data centre.
     *
     * @param service the service
     * @param dataCentre the data centre
     * @param reclaimable whether the order is for reclaimable servers, which are counted separately from on-demand
     *     servers
     * @param count the desired number of servers
     */
    record ServerOrder(ServiceId service, DataCentreId dataCentre, boolean reclaimable, int count) {}

    /** Outcome of a call. */
    enum Outcome {
        /** The call was accepted. */
        DONE,
        /** The platform has seen a higher fencing token, or no servers are available. */
        REFUSED,
        /** The platform did nothing; the call may be retried later. */
        BUSY,
        /** No response was received; the call may still take effect. */
        UNKNOWN
    }
}
