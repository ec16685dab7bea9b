package org.geraniumstand.model.config;

import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;

/**
 * A service and the limits of its backend servers.
 *
 * @param id the service
 * @param kind how it is spoken to
 * @param version the version that takes the traffic when no move is under way
 * @param coldConcurrency requests that a freshly started backend server can bear at once
 * @param maxConcurrency requests that a warm backend server can bear at once
 * @param silenceMillis milliseconds without a byte after which a connection counts as silent
 */
public record Service(
        ServiceId id, ServiceKind kind, VersionId version, int coldConcurrency, int maxConcurrency, int silenceMillis) {
    /**
     * Returns this service with another version taking the traffic.
     *
     * @param next the version
     */
    public Service withVersion(VersionId next) {
        return new Service(id, kind, next, coldConcurrency, maxConcurrency, silenceMillis);
    }
}
