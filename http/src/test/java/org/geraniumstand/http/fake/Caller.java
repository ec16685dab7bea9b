package org.geraniumstand.http.fake;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A caller's connection. */
public final class Caller implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 20_000;

    private final Socket socket;
    private final InputStream in;

    /**
     * An answer.
     *
     * @param status status code
     * @param headers headers by lower-case name
     * @param body the body as far as it came
     * @param whole whether the body came whole
     */
    public record Answer(int status, Map<String, String> headers, String body, boolean whole) {
        /**
         * Returns a header, or an empty text.
         *
         * @param name its name in lower case
         */
        public String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    /**
     * Connects.
     *
     * @param port the listener's port
     */
    public Caller(int port) throws IOException {
        this.socket = new Socket(InetAddress.getLoopbackAddress(), port);
        this.socket.setSoTimeout(TIMEOUT_MILLIS);
        this.in = new BufferedInputStream(socket.getInputStream());
    }

    /**
     * Makes a call on a connection of its own.
     *
     * @param port the listener's port
     * @param method the method
     * @param target path and query
     * @param headers further headers, each ended by a line break
     * @param body the body
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
     * @param method the method
     * @param target path and query
     * @param headers further headers, each ended by a line break
     * @param body the body
     */
    public void send(String method, String target, String headers, String body) throws IOException {
        write(method + " " + target + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + Configurations.TOKEN + "\r\n"
                + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /**
     * Writes text as it is.
     *
     * @param text the text
     */
    public void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    /**
     * Reads until a text has come.
     *
     * @param text the text
     */
    public String readUntil(String text) throws IOException {
        StringBuilder read = new StringBuilder();
        while (read.indexOf(text) < 0) {
            read.append((char) next());
        }
        return read.toString();
    }

    /**
     * Reads an answer.
     *
     * @param method the method of the request
     */
    public Answer read(String method) throws IOException {
        String[] start = line().split(" ", 3);
        Map<String, String> headers = new HashMap<>();
        for (String line = line(); !line.isEmpty(); line = line()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean whole = method.equals("HEAD") || readBody(headers, body);
        return new Answer(Integer.parseInt(start[1]), headers, body.toString(StandardCharsets.UTF_8), whole);
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
            for (int size = Integer.parseInt(line(), 16); size > 0; size = Integer.parseInt(line(), 16)) {
                copy(size, body);
                line();
            }
            line();
            return true;
        } catch (EOFException | SocketException | NumberFormatException _e) {
            return false;
        }
    }

    private void copy(int count, ByteArrayOutputStream body) throws IOException {
        for (int i = 0; i < count; i++) {
            body.write(next());
        }
    }

    private String line() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = next(); next != '\n'; next = next()) {
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    private int next() throws IOException {
        int next = in.read();
        if (next < 0) {
            throw new EOFException("the connection ended");
        }
        return next;
    }
}
