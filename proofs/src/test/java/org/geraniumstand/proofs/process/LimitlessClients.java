package org.geraniumstand.proofs.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that send bytes to a listener, read nothing and keep their connections open. */
final class LimitlessClients implements AutoCloseable {
    private static final int RECEIVE_BUFFER_BYTES = 4_096;
    private static final int CONNECT_MILLIS = 5_000;
    private static final long SEND_MILLIS = 8_000;

    /** Interval at which a client that comes again sends an empty line, which tells it whether it was closed, in milliseconds. */
    private static final long CLOSED_POLL_MILLIS = 100;

    private static final long ANSWER_MILLIS = 1_500;
    private static final byte[] EMPTY_LINE = {'\r', '\n'};

    private final int port;
    private final List<Socket> sockets = new ArrayList<>();
    private final Set<Socket> again = ConcurrentHashMap.newKeySet();
    private final AtomicInteger sending = new AtomicInteger();
    private volatile boolean closed;

    LimitlessClients(int port) {
        this.port = port;
    }

    /** Opens connections, each of which sends the part a number of times between a start and an end. */
    LimitlessClients open(int connections, String start, String part, int parts, String end) {
        for (int i = 0; i < connections; i++) {
            Socket socket = new Socket();
            sockets.add(socket);
            sending.incrementAndGet();
            Thread thread = new Thread(() -> send(socket, start, part.repeat(parts) + end), "client-" + i);
            thread.setDaemon(true);
            thread.start();
        }
        return this;
    }

    /** Opens connections, each of which sends a request; a client whose connection is closed sends it again on a new one at once. */
    LimitlessClients openAgain(int connections, String request) {
        for (int i = 0; i < connections; i++) {
            sending.incrementAndGet();
            Thread thread = new Thread(() -> comeAgain(request), "client-again-" + i);
            thread.setDaemon(true);
            thread.start();
        }
        return this;
    }

    /** Waits until each client has sent all its bytes or was refused, or for some seconds if the process stops reading. */
    void awaitSent() {
        Conditions.holdsWithin(SEND_MILLIS, () -> sending.get() == 0);
    }

    /** Waits until the answers have come as far as they do while nobody reads them. */
    LimitlessClients awaitAnswers() {
        awaitSent();
        Conditions.pause(ANSWER_MILLIS);
        return this;
    }

    private void comeAgain(String request) {
        boolean first = true;
        while (!closed) {
            try (Socket socket = new Socket()) {
                again.add(socket);
                connect(socket);
                socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
                if (first) {
                    first = false;
                    sending.decrementAndGet();
                }
                while (!closed) {
                    Conditions.pause(CLOSED_POLL_MILLIS);
                    socket.getOutputStream().write(EMPTY_LINE);
                }
            } catch (IOException _e) {
                // The process has refused the client or closed its connection.
                again.removeIf(Socket::isClosed);
            }
        }
    }

    private void connect(Socket socket) throws IOException {
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_MILLIS);
    }

    private void send(Socket socket, String start, String rest) {
        try {
            connect(socket);
            socket.getOutputStream().write((start + rest).getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException _e) {
            // The process may refuse such a client or close its connection.
        } finally {
            sending.decrementAndGet();
        }
    }

    @Override
    public void close() {
        closed = true;
        closeAll(sockets);
        closeAll(again);
    }

    private static void closeAll(Collection<Socket> open) {
        for (Socket socket : open) {
            try {
                socket.close();
            } catch (IOException e) {
                throw Ports.failed(e);
            }
        }
    }
}
