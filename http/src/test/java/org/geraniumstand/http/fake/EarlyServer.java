package org.geraniumstand.http.fake;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** Simulates a backend server that answers once it has read the head of a request, reads nothing of its body and then closes. */
public final class EarlyServer implements AutoCloseable {
    /** Size of the receive buffer in bytes, which is much smaller than the bodies sent to this server. */
    private static final int RECEIVE_BYTES = 4_096;

    /** Milliseconds for which the connection stays open after the answer, so that the answer arrives before the end. */
    private static final long PAUSE_MILLIS = 100;

    private final ServerSocket listener;
    private final String answer;
    private final Close close;
    private final AtomicInteger requests = new AtomicInteger();

    /** The ways in which a connection can be closed. */
    public enum Close {
        /** The end of the answer is sent, and what the client still sends is not read. */
        END,
        /** The end of the answer is sent, and what the client still sends is answered by a reset. */
        END_THEN_RESET,
        /** The connection is reset. */
        RESET
    }

    private EarlyServer(String answer, Close close) throws IOException {
        this.answer = answer;
        this.close = close;
        this.listener = new ServerSocket();
        listener.setReceiveBufferSize(RECEIVE_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    /**
     * Starts a server on a free port of the loopback interface.
     *
     * @param answer the bytes of each answer
     * @param close how connections are closed
     */
    public static EarlyServer start(String answer, Close close) {
        try {
            EarlyServer server = new EarlyServer(answer, close);
            Thread thread = new Thread(server::accept, "early-server");
            thread.setDaemon(true);
            thread.start();
            return server;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the port on which the server listens. */
    public int port() {
        return listener.getLocalPort();
    }

    /** Returns the number of requests whose heads arrived. */
    public int requests() {
        return requests.get();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try (Socket socket = listener.accept()) {
                serve(socket);
            } catch (IOException _e) {
                // The client has closed the connection, or the test has ended.
            } catch (InterruptedException _e) {
                return;
            }
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        readHead(socket.getInputStream());
        requests.incrementAndGet();
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
        Thread.sleep(PAUSE_MILLIS);
        if (close == Close.RESET) {
            socket.setSoLinger(true, 0);
            return;
        }
        socket.shutdownOutput();
        if (close == Close.END) {
            // The client takes the end for that of the answer, or gives the attempt up and closes the connection.
            Thread.sleep(5 * PAUSE_MILLIS);
        }
    }

    private static void readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the request ended in its head");
            }
            head.append((char) next);
        }
    }
}
