package org.geraniumstand.model.relay;

import java.util.Optional;
import org.geraniumstand.model.id.ServiceId;

/**
 * A service of backend servers that calls are relayed to.
 *
 * @param id the service
 * @param maxConnections connections that one server accepts from all callers together
 * @param coldMillis how long a server is cold after its start, in milliseconds
 * @param coldPerSecond requests a second that a cold server bears, zero for no limit
 * @param engine what its model engines can hold; nothing for a plain service
 * @param scaling how its servers may be ordered; nothing where they are not ordered
 */
public record RelayService(
        ServiceId id,
        int maxConnections,
        long coldMillis,
        double coldPerSecond,
        Optional<EngineShape> engine,
        Optional<ScalingBounds> scaling) {}
