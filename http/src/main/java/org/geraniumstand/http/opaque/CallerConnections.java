package org.geraniumstand.http.opaque;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.xnio.IoUtils;

/** The callers' connections that carried a request, and whether one is under way on them; belongs to one thread. */
final class CallerConnections {
    private final Map<ServerConnection, Boolean> busy = new HashMap<>();
    private boolean closing;

    /** Notes a request that arrived on its connection. */
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

    /** Closes the connections without a request, and the others when theirs is answered. */
    void closeIdle() {
        closing = true;
        List<ServerConnection> idle = new ArrayList<>();
        busy.forEach((connection, requests) -> {
            if (!requests) {
                idle.add(connection);
            }
        });
        idle.forEach(IoUtils::safeClose);
    }
}
