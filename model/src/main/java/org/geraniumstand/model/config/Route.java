package org.geraniumstand.model.config;

import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServiceId;

/**
 * Maps a path prefix of callers to a service.
 *
 * @param id the route
 * @param pathPrefix the prefix of the request path, starts with a slash
 * @param service the service that answers
 * @param repeatability whether its calls may be repeated; GET and HEAD always may
 * @param maxBodyBytes largest body that is accepted, in bytes
 * @param lookupPath path where an order can be looked up by {@code {key}}, or empty
 */
public record Route(
        RouteId id,
        String pathPrefix,
        ServiceId service,
        Repeatability repeatability,
        long maxBodyBytes,
        String lookupPath) {
    /**
     * Returns whether a path lies under the prefix, in whole segments.
     *
     * @param path the request path
     */
    public boolean matches(String path) {
        if (!path.startsWith(pathPrefix)) {
            return false;
        }
        boolean whole = path.length() == pathPrefix.length();
        return whole || pathPrefix.endsWith("/") || path.charAt(pathPrefix.length()) == '/';
    }
}
