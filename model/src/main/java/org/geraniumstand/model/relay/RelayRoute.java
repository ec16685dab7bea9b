package org.geraniumstand.model.relay;

import java.util.List;
import org.geraniumstand.model.id.RouteId;

/**
 * Maps the calls to a host and path prefix to services.
 *
 * @param id the route
 * @param host the host name that callers use
 * @param pathPrefix prefix of the path, begins and ends with a slash
 * @param kind what may be repeated
 * @param resumable whether a stream may go on at another backend server
 * @param timeoutMillis longest time that a caller is kept waiting, in milliseconds
 * @param targetMillis time within which an answer is on time, in milliseconds
 * @param priority rank of its calls, zero first
 * @param shares where its calls go
 * @param maxAttempts backend servers that one call may be sent to
 * @param open whether callers need no key
 * @param prompts whether its calls carry prompts that share parts
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
        boolean open,
        boolean prompts) {
    /** Copies the list. */
    public RelayRoute {
        shares = List.copyOf(shares);
    }

    /** Returns whether a call may run at more than one backend server. */
    public boolean repeatable() {
        return kind == CallKind.SAFE || (kind == CallKind.STREAM && resumable);
    }
}
