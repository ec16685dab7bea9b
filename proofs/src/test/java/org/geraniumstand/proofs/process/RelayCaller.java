package org.geraniumstand.proofs.process;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A client that sends one request at a time to one relay process, on a connection that it keeps. */
final class RelayCaller implements AutoCloseable {
    private static final int EXTRA_WAIT_MILLIS = 1_000;

    private final int port;
    private Socket socket;
    private InputStream in;

    RelayCaller(int port) {
        this.port = port;
    }

    /** Holds an answer; status 0 means that the connection ended without a whole answer. */
    record Answer(String attempt, int status, Map<String, String> headers, String body, double millis) {}

    Answer call(String method, String path, String attempt, int deadlineMillis, String headers) {
        long start = System.nanoTime();
        int status = 0;
        Map<String, String> answerHeaders = Map.of();
        String body = "";
        try {
            connect();
            socket.setSoTimeout(deadlineMillis + EXTRA_WAIT_MILLIS);
            String request = method + ' ' + path + " HTTP/1.1\r\nHost: " + RelayCluster.HOST + "\r\nAttempt-Id: "
                    + attempt + "\r\nDeadline-Ms: " + deadlineMillis + "\r\n" + headers
                    + (method.equals("POST") ? "Content-Length: 4\r\n\r\nbody" : "\r\n");
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            HttpMessage answer = HttpMessage.read(in);
            answerHeaders = answer.headers();
            body = answer.body();
            if (answer.complete()) {
                status = Integer.parseInt(answer.target());
            }
            if (!answer.complete() || "close".equalsIgnoreCase(answer.header("Connection"))) {
                close();
            }
        } catch (IOException _e) {
            close();
        }
        return new Answer(attempt, status, answerHeaders, body, (System.nanoTime() - start) / 1e6);
    }

    private void connect() throws IOException {
        if (socket == null) {
            socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            throw Ports.failed(e);
        } finally {
            socket = null;
        }
    }
}
