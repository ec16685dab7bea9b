package org.geraniumstand.support.net;

import io.undertow.client.ClientConnection;
import java.io.IOException;
import org.xnio.IoUtils;

/** Closes connections of the HTTP client. */
public final class Connections {
    private Connections() {}

    /**
     * Closes a connection at once, also while an answer is due on it.
     *
     * <p>The client's own way to close waits for the other end to close first as long as an exchange is open, so the
     * other end would not learn that nobody waits any more. The connection below the client has no such wait.
     *
     * @param connection the connection, may be null
     */
    public static void closeNow(ClientConnection connection) {
        if (connection == null) {
            return;
        }
        try {
            IoUtils.safeClose(connection.performUpgrade());
        } catch (IOException _e) {
            // It is closed already.
            IoUtils.safeClose(connection);
        }
    }
}
