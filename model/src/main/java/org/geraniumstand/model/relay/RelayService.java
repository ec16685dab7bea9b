package org.geraniumstand.model.relay;

import java.util.Optional;
import org.geraniumstand.model.id.ServiceId;

/**
 * Describes a service that calls are relayed to.
 *
 * @param id identifier of the service
 * @param maxConnections maximum number of connections that one server accepts from all of its clients together
 * @param coldMillis warm-up time of a server after its start, in milliseconds
 * @param coldPerSecond requests per second that a cold server can handle, zero for no limit
 * @param engineCapacity capacity of its model engines; empty for a plain service
 * @param scaling autoscaling bounds of its servers; empty if its servers are not autoscaled
 */
public record RelayService(
        ServiceId id,
        int maxConnections,
        long coldMillis,
        double coldPerSecond,
        Optional<EngineCapacity> engineCapacity,
        Optional<ScalingBounds> scaling) {}
