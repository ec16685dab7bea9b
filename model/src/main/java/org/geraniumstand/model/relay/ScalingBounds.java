package org.geraniumstand.model.relay;

import java.util.Map;
import org.geraniumstand.model.id.DataCentreId;

/**
 * How many backend servers of a service may be ordered in each data centre and what they cost.
 *
 * @param least fewest servers in a data centre
 * @param most most servers in a data centre
 * @param bootMillis time until a new server serves, in milliseconds
 * @param reclaimablePrice price of a reclaimable server as a part of that of another
 * @param prices price of a server a second by data centre
 */
public record ScalingBounds(
        int least, int most, long bootMillis, double reclaimablePrice, Map<DataCentreId, Double> prices) {
    /** Copies the map. */
    public ScalingBounds {
        prices = Map.copyOf(prices);
    }
}
