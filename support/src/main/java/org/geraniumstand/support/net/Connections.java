package org.geraniumstand.support.net;

import io.undertow.client.ClientConnection;
import java.io.IOException;
import org.xnio.IoUtils;

/** Closes connections of Undertow's HTTP client. */
public final class Connections {
    private Connections() {}

    /**
     * Closes a connection immediately, even while a response is outstanding.
     *
     * <p>While an exchange is open, {@link ClientConnection#close} waits for the peer to close first, so the peer would
     * not detect that the response is no longer needed. Closing the underlying stream connection does not wait.
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
            // The connection is already closed.
            IoUtils.safeClose(connection);
        }
    }
}
