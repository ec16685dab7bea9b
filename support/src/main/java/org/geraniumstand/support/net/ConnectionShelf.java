package org.geraniumstand.support.net;

import io.undertow.client.ClientConnection;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;

/** Keeps connections for reuse by the calls of one I/O thread; not thread-safe. */
public final class ConnectionShelf {
    private static final long KEEP_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Map<URI, Deque<Idle>> idle = new HashMap<>();

    private record Idle(ClientConnection connection, long sinceNanos) {}

    /**
     * Takes an open connection that was used lately, or nothing.
     *
     * @param origin where it leads
     * @param withinMillis how lately, in milliseconds
     */
    public Optional<ClientConnection> take(URI origin, long withinMillis) {
        Deque<Idle> queue = idle.get(origin);
        while (queue != null && !queue.isEmpty()) {
            Idle last = queue.pollLast();
            if (last.connection().isOpen()
                    && System.nanoTime() - last.sinceNanos() < TimeUnit.MILLISECONDS.toNanos(withinMillis)) {
                return Optional.of(last.connection());
            }
            IoUtils.safeClose(last.connection());
        }
        return Optional.empty();
    }

    /**
     * Puts a connection back whose exchange is complete.
     *
     * @param origin where it leads
     * @param connection the connection
     */
    public void put(URI origin, ClientConnection connection) {
        if (!connection.isOpen()) {
            return;
        }
        Deque<Idle> queue = idle.computeIfAbsent(origin, _key -> new ArrayDeque<>());
        long now = System.nanoTime();
        while (!queue.isEmpty() && now - queue.peekFirst().sinceNanos() >= KEEP_NANOS) {
            IoUtils.safeClose(queue.pollFirst().connection());
        }
        queue.addLast(new Idle(connection, now));
    }
}
