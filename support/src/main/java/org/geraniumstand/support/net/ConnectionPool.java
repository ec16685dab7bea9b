package org.geraniumstand.support.net;

import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;

/** Pools idle connections for reuse by the calls of one I/O thread; not thread-safe. */
public final class ConnectionPool {
    private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Map<URI, Deque<IdleConnection>> idleByOrigin = new HashMap<>();

    private record IdleConnection(ServerConnection connection, long idleSinceNanos) {}

    /**
     * Removes and returns an open connection that was used recently, if there is one; connections that do not qualify
     * are closed.
     *
     * @param origin origin of the server
     * @param withinMillis maximum time since the last use, in milliseconds
     */
    public Optional<ServerConnection> acquire(URI origin, long withinMillis) {
        Deque<IdleConnection> connections = idleByOrigin.get(origin);
        while (connections != null && !connections.isEmpty()) {
            IdleConnection last = connections.pollLast();
            if (last.connection().client().isOpen()
                    && System.nanoTime() - last.idleSinceNanos() < TimeUnit.MILLISECONDS.toNanos(withinMillis)) {
                return Optional.of(last.connection());
            }
            IoUtils.safeClose(last.connection().client());
        }
        return Optional.empty();
    }

    /**
     * Returns a connection to the pool after its exchange is complete.
     *
     * @param origin origin of the server
     * @param connection the idle connection
     */
    public void release(URI origin, ServerConnection connection) {
        if (!connection.client().isOpen()) {
            return;
        }
        Deque<IdleConnection> connections = idleByOrigin.computeIfAbsent(origin, _key -> new ArrayDeque<>());
        long now = System.nanoTime();
        while (!connections.isEmpty() && now - connections.peekFirst().idleSinceNanos() >= MAX_IDLE_NANOS) {
            IoUtils.safeClose(connections.pollFirst().connection().client());
        }
        connections.addLast(new IdleConnection(connection, now));
    }
}
