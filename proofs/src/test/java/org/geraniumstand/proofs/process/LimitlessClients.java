package org.geraniumstand.proofs.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that send bytes to a listener, read nothing and keep their connections open. */
final class LimitlessClients implements AutoCloseable {
    private static final int RECEIVE_BUFFER_BYTES = 4_096;
    private static final int CONNECT_MILLIS = 5_000;
    private static final long SEND_MILLIS = 8_000;

    private final int port;
    private final List<Socket> sockets = new ArrayList<>();
    private final AtomicInteger sending = new AtomicInteger();

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

    /** Waits until each client has sent all its bytes or was refused, or for some seconds if the process stops reading. */
    void awaitSent() {
        Conditions.holdsWithin(SEND_MILLIS, () -> sending.get() == 0);
    }

    private void send(Socket socket, String start, String rest) {
        try {
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_MILLIS);
            socket.getOutputStream().write((start + rest).getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException _e) {
            // The process may refuse such a client or close its connection.
        } finally {
            sending.decrementAndGet();
        }
    }

    @Override
    public void close() {
        for (Socket socket : sockets) {
            try {
                socket.close();
            } catch (IOException e) {
                throw Ports.failed(e);
            }
        }
    }
}
