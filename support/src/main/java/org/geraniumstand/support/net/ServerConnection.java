package org.geraniumstand.support.net;

import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;
import org.geraniumstand.support.log.StackSummary;
import org.xnio.OptionMap;
import org.xnio.XnioIoThread;

/** Holds a connection to a server and what is known of it beyond what Undertow's HTTP client knows; confined to one I/O thread. */
public final class ServerConnection {
    private static final Log LOG = Log.of(ServerConnection.class);

    /** The path of a request that is not sent. */
    private static final String UNSENT_PATH = "/";

    private final ClientConnection client;
    private final FramingLimit framing;
    private final AnswerHeadSyntax heads;
    private final WriteSwitch writes;
    private final UnreadInput unread;
    private final AnsweredIds answeredIds = new AnsweredIds();
    private boolean answeredHead;

    private ServerConnection(
            ClientConnection client,
            FramingLimit framing,
            AnswerHeadSyntax heads,
            WriteSwitch writes,
            UnreadInput unread) {
        this.client = client;
        this.framing = framing;
        this.heads = heads;
        this.writes = writes;
        this.unread = unread;
    }

    /** Returns the connection of the HTTP client. */
    public ClientConnection client() {
        return client;
    }

    /** Returns the limit on the bytes that are no part of a body. */
    public FramingLimit framing() {
        return framing;
    }

    /** Returns the requests that were answered on this connection. */
    public AnsweredIds answeredIds() {
        return answeredIds;
    }

    /** Returns whether a HEAD request was answered on this connection. */
    public boolean answeredHead() {
        return answeredHead;
    }

    /** Records that a HEAD request was answered on this connection. */
    public void onAnsweredHead() {
        answeredHead = true;
    }

    /**
     * Returns whether another request may be sent on the connection while it is idle, and must be asked right before; otherwise the
     * connection must be closed. What has arrived behind the last answer would be taken for the next one: the HTTP client closes
     * such a connection, but only in the I/O thread's next turn.
     */
    boolean reusable() {
        return client.isOpen() && !unread.present();
    }

    /**
     * Sends the head of a request, whose answer is limited and checked as it is received.
     *
     * @param request the head of the request
     * @param onSent called with the exchange, whose request body is to be written and whose listener is to be set
     * @param onFailed called with the reason if the head is not sent
     */
    public void sendRequest(ClientRequest request, Consumer<ClientExchange> onSent, Consumer<IOException> onFailed) {
        framing.onProgress();
        heads.expect();
        client.sendRequest(request, Callbacks.of(onSent, onFailed));
    }

    /**
     * Waits for another answer after one was read to its end that belongs to an earlier request; sends nothing.
     *
     * <p>The HTTP client expects one answer for each request, so it gets a request of which no byte is sent.
     *
     * @param method method of the request that waits for its answer, which must have been sent completely
     * @param onAnswer called when the head of the answer has arrived
     * @param onFailed called with the reason if there is no further answer
     */
    public void awaitFurtherAnswer(
            HttpString method, Consumer<ClientExchange> onAnswer, Consumer<IOException> onFailed) {
        try {
            ByteBuffer input = unread.peek();
            heads.expect();
            heads.onRead(input, input.position(), input.limit());
        } catch (IOException e) {
            onFailed.accept(e);
            return;
        }
        ClientRequest unsent = new ClientRequest().setMethod(method).setPath(UNSENT_PATH);
        AtomicReference<ClientExchange> exchange = new AtomicReference<>();
        writes.discardWritesOf(() -> client.sendRequest(unsent, Callbacks.of(exchange::set, _e -> {})));
        if (exchange.get() == null) {
            // The connection ends with the answer, or its request is not complete and the client keeps this one for
            // later.
            onFailed.accept(new IOException("the connection cannot have a further answer"));
            return;
        }
        exchange.get().setResponseListener(Callbacks.of(onAnswer, onFailed));
    }

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
        try {
            connect(origin, thread, buffers, onConnected, onFailed);
        } catch (RuntimeException e) {
            LOG.warn("connection-not-opened", Field.of("origin", origin), Field.of("reason", StackSummary.of(e)));
            onFailed.accept(new IOException("cannot open a connection to " + origin, e));
        }
    }

    private static void connect(
            URI origin,
            XnioIoThread thread,
            ByteBufferPool buffers,
            Consumer<ServerConnection> onConnected,
            Consumer<IOException> onFailed) {
        FramingLimit limit = new FramingLimit();
        AnswerHeadSyntax heads = new AnswerHeadSyntax();
        WriteSwitch writes = new WriteSwitch();
        UnreadInput unread = new UnreadInput();
        UndertowClient.getInstance()
                .connect(
                        Callbacks.of(
                                client ->
                                        onConnected.accept(new ServerConnection(client, limit, heads, writes, unread)),
                                onFailed),
                        origin,
                        new LimitedIoThread(thread, limit, heads, writes, unread),
                        buffers,
                        OptionMap.EMPTY);
    }
}
