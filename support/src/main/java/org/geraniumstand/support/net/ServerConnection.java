package org.geraniumstand.support.net;

import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.function.Consumer;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;
import org.geraniumstand.support.log.StackSummary;
import org.xnio.OptionMap;
import org.xnio.XnioIoThread;

/**
 * Holds a connection to a server, the limit on what the server may send besides bodies, and the requests that were answered
 * on it.
 *
 * @param client the connection
 * @param framing counts the bytes that are no part of a body
 * @param answeredIds the requests that were answered and must not be sent again on this connection
 */
public record ServerConnection(ClientConnection client, FramingLimit framing, AnsweredIds answeredIds) {
    private static final Log LOG = Log.of(ServerConnection.class);

    /**
     * Opens a connection. An origin that no connection can be opened to is reported like a failed connection.
     *
     * @param origin scheme, IP address and port of the server
     * @param thread the calling I/O thread, which will own the connection
     * @param buffers pool of the read buffers
     * @param onConnected called with the connection
     * @param onFailed called with the reason if there is none
     */
    public static void open(
            URI origin,
            XnioIoThread thread,
            ByteBufferPool buffers,
            Consumer<ServerConnection> onConnected,
            Consumer<IOException> onFailed) {
        FramingLimit limit = new FramingLimit();
        try {
            connect(origin, thread, buffers, limit, onConnected, onFailed);
        } catch (RuntimeException e) {
            LOG.warn("connection-not-opened", Field.of("origin", origin), Field.of("reason", StackSummary.of(e)));
            onFailed.accept(new IOException("cannot open a connection to " + origin, e));
        }
    }

    private static void connect(
            URI origin,
            XnioIoThread thread,
            ByteBufferPool buffers,
            FramingLimit limit,
            Consumer<ServerConnection> onConnected,
            Consumer<IOException> onFailed) {
        UndertowClient.getInstance()
                .connect(
                        Callbacks.of(
                                client -> onConnected.accept(new ServerConnection(client, limit, new AnsweredIds())),
                                onFailed),
                        origin,
                        new LimitedIoThread(thread, limit),
                        buffers,
                        OptionMap.EMPTY);
    }
}
