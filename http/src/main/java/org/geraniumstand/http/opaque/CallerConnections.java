package org.geraniumstand.http.opaque;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.xnio.IoUtils;

/** Tracks the callers' connections and whether a request is in progress on each; confined to one thread. */
final class CallerConnections {
    private final Map<ServerConnection, Boolean> busy = new HashMap<>();
    private boolean closing;

    /** Records that a request arrived on its connection. */
    void onRequest(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        if (busy.put(connection, true) == null) {
            connection.addCloseListener(busy::remove);
        }
        exchange.addExchangeCompleteListener((_exchange, next) -> {
            busy.replace(connection, false);
            next.proceed();
            if (closing) {
                IoUtils.safeClose(connection);
            }
        });
    }

    /** Closes the idle connections now and the others as soon as their requests are answered. */
    void closeIdle() {
        closing = true;
        List<ServerConnection> idle = new ArrayList<>();
        busy.forEach((connection, inProgress) -> {
            if (!inProgress) {
                idle.add(connection);
            }
        });
        idle.forEach(IoUtils::safeClose);
    }
}
