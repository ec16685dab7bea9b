package org.geraniumstand.model.config;

import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServiceId;

/**
 * Maps a prefix of request paths to a service.
 *
 * @param id identifier of the route
 * @param pathPrefix prefix of the request path, starting with a slash
 * @param service the service that handles the requests
 * @param repeatability whether its calls may be retried; GET and HEAD requests always may
 * @param maxBodyBytes maximum accepted size of a request body, in bytes
 * @param lookupPath path template with {@code {key}} at which the service reports whether an order was executed, or
 *     empty
 */
public record Route(
        RouteId id,
        String pathPrefix,
        ServiceId service,
        Repeatability repeatability,
        long maxBodyBytes,
        String lookupPath) {
    /**
     * Returns whether the prefix matches a path in whole segments.
     *
     * @param path the request path
     */
    public boolean matches(String path) {
        if (!path.startsWith(pathPrefix)) {
            return false;
        }
        boolean exactMatch = path.length() == pathPrefix.length();
        return exactMatch || pathPrefix.endsWith("/") || path.charAt(pathPrefix.length()) == '/';
    }
}
