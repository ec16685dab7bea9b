package org.geraniumstand.http.fake;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Sends requests to a listener over a plain socket and reads the answers. */
public final class Caller implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 20_000;

    private static final int BUFFER_BYTES = 256 * 1024;

    private final Socket socket;
    private final InputStream in;

    /**
     * Holds an answer as the caller received it.
     *
     * @param status the HTTP status code
     * @param headers the headers by lower-case name
     * @param body the part of the body that arrived
     * @param complete whether the body looks whole: by its length or its last chunk, or because the connection ended in order
     *     where the head states neither
     */
    public record Answer(int status, Map<String, String> headers, String body, boolean complete) {
        /**
         * Returns the value of a header, or an empty string if it is absent.
         *
         * @param name the name of the header in lower case
         */
        public String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    /**
     * Connects to a listener on the loopback interface.
     *
     * @param port the port of the listener
     */
    public Caller(int port) throws IOException {
        this(port, BUFFER_BYTES);
    }

    /**
     * Connects to a listener on the loopback interface with a receive buffer of a certain size.
     *
     * @param port the port of the listener
     * @param receiveBytes the size of the receive buffer; a small one leaves what the caller does not read with the listener
     */
    public Caller(int port, int receiveBytes) throws IOException {
        this.socket = new Socket();
        this.socket.setReceiveBufferSize(receiveBytes);
        this.socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        this.socket.setSoTimeout(TIMEOUT_MILLIS);
        this.in = new BufferedInputStream(socket.getInputStream());
    }

    /**
     * Sends a request on a new connection and returns the answer.
     *
     * @param port the port of the listener
     * @param method the HTTP method
     * @param target path and query string
     * @param headers further headers, each terminated by a line break
     * @param body the request body
     */
    public static Answer call(int port, String method, String target, String headers, String body) throws IOException {
        try (Caller caller = new Caller(port)) {
            caller.send(method, target, headers, body);
            return caller.read(method);
        }
    }

    /**
     * Sends a request with the team's token.
     *
     * @param method the HTTP method
     * @param target path and query string
     * @param headers further headers, each terminated by a line break
     * @param body the request body
     */
    public void send(String method, String target, String headers, String body) throws IOException {
        write(method + " " + target + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + Configurations.TOKEN + "\r\n"
                + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
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
     * Reads until a text has arrived and returns everything that was read.
     *
     * @param text the text to wait for
     */
    public String readUntil(String text) throws IOException {
        StringBuilder read = new StringBuilder();
        while (read.indexOf(text) < 0) {
            read.append((char) readByte());
        }
        return read.toString();
    }

    /** Waits until the next answer begins to arrive. */
    public void awaitAnswer() throws IOException {
        in.mark(1);
        readByte();
        in.reset();
    }

    /** Reads and discards everything until the listener closes the connection. */
    public void discardAll() throws IOException {
        byte[] part = new byte[BUFFER_BYTES];
        int count = 0;
        while (count >= 0) {
            count = in.read(part);
        }
    }

    /**
     * Reads the next answer.
     *
     * @param method the HTTP method of the request
     */
    public Answer read(String method) throws IOException {
        String[] start = readLine().split(" ", 3);
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = method.equals("HEAD") || readBody(headers, body);
        return new Answer(Integer.parseInt(start[1]), headers, body.toString(StandardCharsets.UTF_8), complete);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private boolean readBody(Map<String, String> headers, ByteArrayOutputStream body) throws IOException {
        try {
            if (headers.containsKey("content-length")) {
                copy(Integer.parseInt(headers.get("content-length")), body);
                return true;
            }
            if (!headers.containsKey("transfer-encoding")) {
                for (int next = in.read(); next >= 0; next = in.read()) {
                    body.write(next);
                }
                return true;
            }
            for (int size = Integer.parseInt(readLine(), 16); size > 0; size = Integer.parseInt(readLine(), 16)) {
                copy(size, body);
                readLine();
            }
            readLine();
            return true;
        } catch (EOFException | SocketException | NumberFormatException _e) {
            return false;
        }
    }

    private void copy(int count, ByteArrayOutputStream body) throws IOException {
        for (int i = 0; i < count; i++) {
            body.write(readByte());
        }
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = readByte(); next != '\n'; next = readByte()) {
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    private int readByte() throws IOException {
        int next = in.read();
        if (next < 0) {
            throw new EOFException("the connection was closed before the answer was complete");
        }
        return next;
    }
}
