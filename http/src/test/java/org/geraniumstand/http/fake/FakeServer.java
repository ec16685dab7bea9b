package org.geraniumstand.http.fake;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Simulates a backend server whose answers are scripted byte by byte. */
public final class FakeServer implements AutoCloseable {
    private final ServerSocket listener;
    private final Script script;
    private final List<Request> requests = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final AtomicInteger disconnects = new AtomicInteger();

    /** Defines the answers of a server. */
    @FunctionalInterface
    public interface Script {
        /**
         * Answers a request.
         *
         * @param request the request to answer
         * @param connection the connection to write to
         */
        void answer(Request request, Connection connection) throws IOException, InterruptedException;
    }

    /**
     * Holds a request as the server received it.
     *
     * @param method the HTTP method
     * @param target path and query string
     * @param headers the headers by lower-case name
     * @param body the body
     */
    public record Request(String method, String target, Map<String, String> headers, String body) {
        /** Returns the id of the attempt. */
        public String attemptId() {
            return headers.get("x-request-id");
        }
    }

    private FakeServer(Script script) {
        this.script = script;
        try {
            this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Starts a server on a free port of the loopback interface.
     *
     * @param script defines the answers
     */
    public static FakeServer start(Script script) {
        FakeServer server = new FakeServer(script);
        startThread(server::accept);
        return server;
    }

    /** Returns the port on which the server listens. */
    public int port() {
        return listener.getLocalPort();
    }

    /** Returns the requests that arrived, in order. */
    public List<Request> requests() {
        return List.copyOf(requests);
    }

    /** Returns the number of connections that were closed by the client or broken. */
    public int disconnects() {
        return disconnects.get();
    }

    /** Returns the number of connections that were opened to the server. */
    public int connections() {
        return sockets.size();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                sockets.add(socket);
                startThread(() -> serve(socket));
            } catch (IOException _e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Connection connection = new Connection(socket);
            Optional<Request> request = read(in);
            while (request.isPresent()) {
                requests.add(request.get());
                script.answer(request.get(), connection);
                request = read(in);
            }
            disconnects.incrementAndGet();
        } catch (IOException _e) {
            disconnects.incrementAndGet();
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Optional<Request> read(InputStream in) throws IOException {
        String start = readLine(in);
        if (start.isEmpty()) {
            return Optional.empty();
        }
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
        String[] parts = start.split(" ", 3);
        return Optional.of(new Request(parts[0], parts[1], headers, body));
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "fake-server");
        thread.setDaemon(true);
        thread.start();
    }

    /** Writes to a connection of the server. */
    public static final class Connection {
        private final Socket socket;

        private Connection(Socket socket) {
            this.socket = socket;
        }

        /** Returns the port of the server that accepted the connection. */
        public int serverPort() {
            return socket.getLocalPort();
        }

        /**
         * Writes text without changes.
         *
         * @param text the text to write
         */
        public void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
        }

        /**
         * Writes a complete answer.
         *
         * @param status the HTTP status code
         * @param headers further headers, each terminated by a line break
         * @param body the body
         */
        public void answer(int status, String headers, String body) throws IOException {
            write("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
        }

        /**
         * Writes text once more after a delay, whatever the connection is used for by then.
         *
         * @param text the text to write
         * @param delayMillis the delay in milliseconds
         */
        public void repeatLater(String text, long delayMillis) {
            repeatLater(text, delayMillis, () -> {});
        }

        /**
         * Writes text once more after a delay, whatever the connection is used for by then, and reports the end of it.
         *
         * @param text the text to write
         * @param delayMillis the delay in milliseconds
         * @param onEnd called when the text was written or the client had closed the connection
         */
        public void repeatLater(String text, long delayMillis, Runnable onEnd) {
            startThread(() -> {
                try {
                    Thread.sleep(delayMillis);
                    write(text);
                } catch (IOException _e) {
                    // The client has closed the connection.
                } catch (InterruptedException _e) {
                    Thread.currentThread().interrupt();
                } finally {
                    onEnd.run();
                }
            });
        }

        /** Starts an event stream with chunked transfer encoding. */
        public void startStream() throws IOException {
            write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        }

        /**
         * Writes an event of a stream.
         *
         * @param data the data of the event
         */
        public void event(String data) throws IOException {
            String text = "data: " + data + "\n\n";
            write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        /**
         * Writes a token of a completion stream.
         *
         * @param content the text of the token
         */
        public void token(String content) throws IOException {
            event("{\"choices\":[{\"delta\":{\"content\":\"" + content + "\"}}]}");
        }

        /** Writes the end of a stream. */
        public void endStream() throws IOException {
            event("[DONE]");
            write("0\r\n\r\n");
        }

        /** Sends nothing more and waits until the client closes the connection. */
        public void stallUntilClosed() throws IOException {
            while (socket.getInputStream().read() >= 0) {
                // Bytes that arrive meanwhile are ignored.
            }
        }

        /** Resets the connection without completing the answer. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Closes the connection without completing the answer. */
        public void abort() throws IOException {
            socket.close();
        }
    }
}
