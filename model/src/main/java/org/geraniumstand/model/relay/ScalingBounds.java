package org.geraniumstand.model.relay;

import java.util.Map;
import org.geraniumstand.model.id.DataCentreId;

/**
 * Limits the number of a service's backend servers in each data centre and gives their prices.
 *
 * @param minServers minimum number of servers in a data centre
 * @param maxServers maximum number of servers in a data centre
 * @param bootMillis time from the order of a server until it accepts requests, in milliseconds
 * @param reclaimablePriceRatio price of a reclaimable server as a fraction of the price of an on-demand server
 * @param prices price per server and second, by data centre
 */
public record ScalingBounds(
        int minServers,
        int maxServers,
        long bootMillis,
        double reclaimablePriceRatio,
        Map<DataCentreId, Double> prices) {
    /** Makes a defensive copy of the map. */
    public ScalingBounds {
        prices = Map.copyOf(prices);
    }
}
