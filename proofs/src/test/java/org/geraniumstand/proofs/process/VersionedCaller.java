package org.geraniumstand.proofs.process;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntConsumer;

/** A client of one version of HTTP that tells how the answers to its requests end. */
final class VersionedCaller implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 20_000;
    private static final int PART_BYTES = 8_192;
    private static final int HEXADECIMAL = 16;

    private final Kind kind;
    private final int port;
    private final int receiveBufferBytes;
    private Socket socket;
    private InputStream in;

    /** What a caller says about its connection. */
    enum Kind {
        HTTP11("HTTP/1.1", ""),
        HTTP11_CLOSE("HTTP/1.1", "Connection: close\r\n"),
        HTTP10("HTTP/1.0", ""),
        HTTP10_KEEP_ALIVE("HTTP/1.0", "Connection: keep-alive\r\n");

        private final String version;
        private final String header;

        Kind(String version, String header) {
            this.version = version;
            this.header = header;
        }
    }

    /** How an answer ended. */
    enum Ending {
        LENGTH(true),
        LAST_CHUNK(true),
        /** An answer without length and chunks ended with an orderly end of its connection. */
        CLOSED(true),
        /** The connection ended inside a length or between chunks. */
        CUT(false),
        RESET(false),
        SILENT(false);

        private final boolean complete;

        Ending(boolean complete) {
            this.complete = complete;
        }
    }

    /**
     * Holds an answer.
     *
     * @param status the status, 0 if no head was received
     * @param body the body as far as it was received
     * @param ending how the body ended
     * @param disorderlyEnd whether the connection did not end in order after a body that looks complete
     */
    record Answer(int status, String body, Ending ending, boolean disorderlyEnd) {
        boolean looksComplete() {
            return ending.complete;
        }
    }

    /**
     * Creates a caller of one process.
     *
     * @param receiveBufferBytes size of the socket's receive buffer, or 0 for that of the operating system
     */
    VersionedCaller(Kind kind, int port, int receiveBufferBytes) {
        this.kind = kind;
        this.port = port;
        this.receiveBufferBytes = receiveBufferBytes;
    }

    /** Sends a request; the number of body bytes so far is reported before each further part is read. */
    Answer call(String path, String attempt, int deadlineMillis, String headers, IntConsumer onBody) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int status = 0;
        try {
            connect();
            String request = "POST " + path + ' ' + kind.version + "\r\nHost: " + RelayCluster.HOST + "\r\nAttempt-Id: "
                    + attempt + "\r\nDeadline-Ms: " + deadlineMillis + "\r\n" + kind.header + headers
                    + "Content-Length: 4\r\n\r\nbody";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            String statusLine = readLine();
            Map<String, String> answerHeaders = readHeaders();
            status = Integer.parseInt(statusLine.split(" ", -1)[1]);
            Ending ending = readBody(answerHeaders, body, onBody);
            boolean kept = ending.complete
                    && ending != Ending.CLOSED
                    && keepsConnection(statusLine, answerHeaders.getOrDefault("connection", ""));
            boolean disorderlyEnd = !kept && ending != Ending.CLOSED && !endsInOrder();
            if (!kept) {
                close();
            }
            return answer(status, body, ending, disorderlyEnd);
        } catch (SocketTimeoutException _e) {
            close();
            return answer(status, body, Ending.SILENT, false);
        } catch (EndOfConnectionException _e) {
            close();
            return answer(status, body, Ending.CUT, false);
        } catch (IOException _e) {
            close();
            return answer(status, body, Ending.RESET, false);
        }
    }

    private static Answer answer(int status, ByteArrayOutputStream body, Ending ending, boolean disorderlyEnd) {
        return new Answer(status, body.toString(StandardCharsets.ISO_8859_1), ending, disorderlyEnd);
    }

    private static boolean keepsConnection(String statusLine, String connectionHeader) {
        return statusLine.startsWith("HTTP/1.0")
                ? connectionHeader.equalsIgnoreCase("keep-alive")
                : !connectionHeader.equalsIgnoreCase("close");
    }

    private Ending readBody(Map<String, String> headers, ByteArrayOutputStream body, IntConsumer onBody)
            throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            while (true) {
                int size = Integer.parseInt(readLine(), HEXADECIMAL);
                readBytes(size, body, onBody);
                readLine();
                if (size == 0) {
                    return Ending.LAST_CHUNK;
                }
            }
        }
        String length = headers.get("content-length");
        if (length != null) {
            readBytes(Integer.parseInt(length), body, onBody);
            return Ending.LENGTH;
        }
        byte[] part = new byte[PART_BYTES];
        for (int count = in.read(part); count >= 0; count = in.read(part)) {
            body.write(part, 0, count);
            onBody.accept(body.size());
        }
        return Ending.CLOSED;
    }

    private void readBytes(int size, ByteArrayOutputStream body, IntConsumer onBody) throws IOException {
        byte[] part = new byte[Math.min(size, PART_BYTES)];
        int left = size;
        while (left > 0) {
            int count = in.read(part, 0, Math.min(left, part.length));
            if (count < 0) {
                throw new EndOfConnectionException();
            }
            body.write(part, 0, count);
            left -= count;
            onBody.accept(body.size());
        }
    }

    /** Returns whether nothing but an orderly end follows on the connection. */
    private boolean endsInOrder() {
        try {
            return in.read() < 0;
        } catch (IOException _e) {
            return false;
        }
    }

    private Map<String, String> readHeaders() throws IOException {
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return headers;
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EndOfConnectionException();
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    private void connect() throws IOException {
        if (socket == null) {
            socket = new Socket();
            if (receiveBufferBytes > 0) {
                socket.setReceiveBufferSize(receiveBufferBytes);
            }
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), READ_TIMEOUT_MILLIS);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
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

    private static final class EndOfConnectionException extends IOException {
        private static final long serialVersionUID = 1;

        EndOfConnectionException() {
            super("the connection ended");
        }
    }
}
