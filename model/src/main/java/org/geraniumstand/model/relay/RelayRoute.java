package org.geraniumstand.model.relay;

import java.util.List;
import org.geraniumstand.model.id.RouteId;

/**
 * Maps the calls of a host name and path prefix to services.
 *
 * @param id identifier of the route
 * @param host host name in the callers' requests
 * @param pathPrefix prefix of the path, starting and ending with a slash
 * @param kind whether its calls may be executed more than once
 * @param resumable whether an interrupted stream may resume at another backend server
 * @param timeoutMillis maximum time until a call is answered, in milliseconds
 * @param targetMillis latency target of an answer, in milliseconds
 * @param priority priority of its calls; zero is the highest
 * @param shares weighted services that receive its calls
 * @param maxAttempts maximum number of backend servers that one call is sent to
 * @param allowsAnonymous whether calls are accepted without an API key
 * @param hasPrompts whether its calls carry prompts with parts that other prompts share
 */
public record RelayRoute(
        RouteId id,
        String host,
        String pathPrefix,
        CallKind kind,
        boolean resumable,
        long timeoutMillis,
        long targetMillis,
        int priority,
        List<ServiceShare> shares,
        int maxAttempts,
        boolean allowsAnonymous,
        boolean hasPrompts) {
    /** Makes a defensive copy of the list. */
    public RelayRoute {
        shares = List.copyOf(shares);
    }

    /** Returns whether a call may be executed by more than one backend server. */
    public boolean retryable() {
        return kind == CallKind.SAFE || (kind == CallKind.STREAM && resumable);
    }
}
