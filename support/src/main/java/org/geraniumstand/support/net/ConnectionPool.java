package org.geraniumstand.support.net;

import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.xnio.IoUtils;

/** Pools idle connections for reuse by the calls of one I/O thread; not thread-safe. */
public final class ConnectionPool {
    /** Maximum number of idle connections to a server while none of them is usable for a request. */
    static final int MAX_SKIPPED = 8;

    private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Map<URI, Deque<IdleConnection>> idleByOrigin = new HashMap<>();

    private record IdleConnection(ServerConnection connection, long idleSinceNanos) {}

    /**
     * Removes and returns a reusable connection that was used recently, if there is one; all others are closed.
     *
     * @param origin origin of the server
     * @param withinMillis maximum time since the last use, in milliseconds
     */
    public Optional<ServerConnection> acquire(URI origin, long withinMillis) {
        return acquire(origin, withinMillis, _connection -> true);
    }

    /**
     * Removes and returns a reusable connection that was used recently and is usable, if there is one; connections that are not
     * reusable or were not used recently are closed, and those that are not usable stay in the pool, within a limit.
     *
     * @param origin origin of the server
     * @param withinMillis maximum time since the last use, in milliseconds
     * @param usable whether a connection may carry the request
     */
    public Optional<ServerConnection> acquire(URI origin, long withinMillis, Predicate<ServerConnection> usable) {
        Deque<IdleConnection> connections = idleByOrigin.getOrDefault(origin, new ArrayDeque<>());
        Iterator<IdleConnection> latestFirst = connections.descendingIterator();
        while (latestFirst.hasNext()) {
            IdleConnection idle = latestFirst.next();
            if (System.nanoTime() - idle.idleSinceNanos() >= TimeUnit.MILLISECONDS.toNanos(withinMillis)
                    || !idle.connection().reusable()) {
                latestFirst.remove();
                IoUtils.safeClose(idle.connection().client());
            } else if (usable.test(idle.connection())) {
                latestFirst.remove();
                return Optional.of(idle.connection());
            }
        }
        // The caller opens another connection, which will be idle, too.
        while (connections.size() > MAX_SKIPPED) {
            IoUtils.safeClose(connections.pollFirst().connection().client());
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
