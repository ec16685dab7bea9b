package org.geraniumstand.outside.relay;

import java.util.Map;
import java.util.function.Consumer;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;

/** The platform's calls that one process at a time makes for all. */
public interface DutyDesk {
    /**
     * Reports the requests that began to run in a window.
     *
     * @param claim who reports
     * @param window number of the window
     * @param counts requests by team
     * @param callback told what became of it
     */
    void reportUsage(Claim claim, long window, Map<TeamId, Long> counts, Consumer<Outcome> callback);

    /**
     * Orders backend servers.
     *
     * @param claim who orders
     * @param order what is wanted
     * @param callback told what became of it
     */
    void orderServers(Claim claim, ServerOrder order, Consumer<Outcome> callback);

    /**
     * Who makes a call.
     *
     * @param holder the process that holds the duty
     * @param fence grows when the holder changes
     */
    record Claim(String holder, long fence) {}

    /**
     * How many servers a service is to have in a data centre.
     *
     * @param service the service
     * @param dataCentre the data centre
     * @param reclaimable whether the order is for reclaimable servers, which are counted apart
     * @param count the number wanted
     */
    record ServerOrder(ServiceId service, DataCentreId dataCentre, boolean reclaimable, int count) {}

    /** What became of a call. */
    enum Outcome {
        /** It was accepted. */
        DONE,
        /** A higher fence was seen, or there are no servers to be had. */
        REFUSED,
        /** Nothing was done, and it may be tried again later. */
        BUSY,
        /** No answer came; it may still take effect. */
        UNKNOWN
    }
}
