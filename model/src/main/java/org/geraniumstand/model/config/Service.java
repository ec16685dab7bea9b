package org.geraniumstand.model.config;

import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/**
 * Describes a service and the limits of its backend servers.
 *
 * @param id identifier of the service
 * @param kind the protocol of its backend servers
 * @param version the version that receives the traffic when no version move is in progress
 * @param coldConcurrency concurrent requests that a newly started (cold) backend server can handle
 * @param maxConcurrency concurrent requests that a warm backend server can handle
 * @param silenceMillis response timeout in milliseconds: time without a received byte after which a connection is
 *     considered unresponsive
 */
public record Service(
        ServiceId id, ServiceKind kind, VersionId version, int coldConcurrency, int maxConcurrency, int silenceMillis) {
    /**
     * Returns a copy of this service with another version receiving the traffic.
     *
     * @param newVersion the version that receives the traffic
     */
    public Service withVersion(VersionId newVersion) {
        return new Service(id, kind, newVersion, coldConcurrency, maxConcurrency, silenceMillis);
    }
}
