package org.geraniumstand.proofs.process;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;

/** Sends one request over a connection of its own and tells how HTTP ended the answer. */
final class SocketCaller implements Callable<SocketCaller.Answer> {
    private static final int HEXADECIMAL = 16;
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int TIMEOUT_MILLIS = 30_000;

    private final int port;
    private final Kind kind;
    private final String method;
    private final String target;
    private final String headers;
    private final String body;
    private final ByteArrayOutputStream answerBody = new ByteArrayOutputStream();
    private volatile boolean done;

    /** The ways of a caller to use its connection. */
    enum Kind {
        PERSISTENT("HTTP/1.1", ""),
        CLOSING("HTTP/1.1", "Connection: close\r\n"),
        HTTP_1_0("HTTP/1.0", "");

        private final String version;
        private final String headers;

        Kind(String version, String headers) {
            this.version = version;
            this.headers = headers;
        }
    }

    /** The ways in which an answer ends; the first three are complete to HTTP. */
    enum End {
        LENGTH,
        LAST_CHUNK,
        CLOSED_IN_ORDER,
        BROKEN,
        SILENT;

        boolean complete() {
            return this != BROKEN && this != SILENT;
        }
    }

    /** Holds an answer as it was received; status 0 means that none began. */
    record Answer(Kind kind, String method, String target, int status, String body, End end) {
        @Override
        public String toString() {
            return kind + " " + method + " " + target + ": " + status + ", " + body.length() + " characters, " + end;
        }
    }

    SocketCaller(int port, Kind kind, String method, String target, String headers, String body) {
        this.port = port;
        this.kind = kind;
        this.method = method;
        this.target = target;
        this.headers = headers;
        this.body = body;
    }

    Kind kind() {
        return kind;
    }

    /** Returns the text of the answer so far. */
    String received() {
        synchronized (answerBody) {
            return answerBody.toString(StandardCharsets.UTF_8);
        }
    }

    boolean done() {
        return done;
    }

    @Override
    public Answer call() {
        int status = 0;
        End end = End.BROKEN;
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            send(socket);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            status = Integer.parseInt(readLine(in).split(" ", -1)[1]);
            Map<String, String> answerHeaders = new HashMap<>();
            for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
                int colon = line.indexOf(':');
                answerHeaders.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).trim());
            }
            end = readBody(in, answerHeaders);
        } catch (SocketTimeoutException _e) {
            end = End.SILENT;
        } catch (IOException _e) {
            end = End.BROKEN;
        }
        done = true;
        return new Answer(kind, method, target, status, received(), end);
    }

    private void send(Socket socket) throws IOException {
        String request = method + " " + target + " " + kind.version + "\r\nHost: x\r\n" + kind.headers
                + "Authorization: Bearer " + TestConfigurations.COUNTER_TOKEN + "\r\n" + headers + "Content-Length: "
                + body.length() + "\r\n\r\n" + body;
        socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    private End readBody(InputStream in, Map<String, String> answerHeaders) throws IOException {
        if ("chunked".equalsIgnoreCase(answerHeaders.get("transfer-encoding"))) {
            int size = Integer.parseInt(readLine(in), HEXADECIMAL);
            while (size > 0) {
                readBytes(in, size);
                readLine(in);
                size = Integer.parseInt(readLine(in), HEXADECIMAL);
            }
            readLine(in);
            return End.LAST_CHUNK;
        }
        if (answerHeaders.containsKey("content-length")) {
            readBytes(in, Integer.parseInt(answerHeaders.get("content-length")));
            return End.LENGTH;
        }
        byte[] part = new byte[BUFFER_BYTES];
        for (int count = in.read(part); count >= 0; count = in.read(part)) {
            append(part, count);
        }
        return End.CLOSED_IN_ORDER;
    }

    private void readBytes(InputStream in, int size) throws IOException {
        byte[] part = new byte[BUFFER_BYTES];
        int remaining = size;
        while (remaining > 0) {
            int count = in.read(part, 0, Math.min(part.length, remaining));
            if (count < 0) {
                throw new IOException("the connection ended within the body");
            }
            append(part, count);
            remaining -= count;
        }
    }

    private void append(byte[] part, int count) {
        synchronized (answerBody) {
            answerBody.write(part, 0, count);
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("the connection ended within a line");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
