package org.geraniumstand.proofs.process;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Holds an HTTP message as it was read from a socket.
 *
 * @param startLine the request line or the status line
 * @param headers the headers by name in lower case
 * @param body the body as received
 * @param complete whether the body was received up to its end
 */
record HttpMessage(String startLine, Map<String, String> headers, String body, boolean complete) {
    private static final int HEXADECIMAL = 16;

    /** Reads the next message of a connection, whose body has a length or is chunked. */
    static HttpMessage read(InputStream in) throws IOException {
        String startLine = readLine(in);
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = "chunked".equals(headers.get("transfer-encoding"))
                ? readChunks(in, body)
                : readBytes(in, Integer.parseInt(headers.getOrDefault("content-length", "0")), body);
        return new HttpMessage(startLine, headers, body.toString(StandardCharsets.ISO_8859_1), complete);
    }

    String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    /** Returns the path of a request or the status code of a response. */
    String target() {
        return startLine.split(" ", -1)[1];
    }

    private static boolean readChunks(InputStream in, ByteArrayOutputStream body) {
        try {
            while (true) {
                int size = Integer.parseInt(readLine(in), HEXADECIMAL);
                boolean whole = readBytes(in, size, body);
                readLine(in);
                if (size == 0 || !whole) {
                    return whole;
                }
            }
        } catch (IOException _e) {
            return false;
        }
    }

    private static boolean readBytes(InputStream in, int size, ByteArrayOutputStream body) throws IOException {
        byte[] bytes = in.readNBytes(size);
        body.write(bytes, 0, bytes.length);
        return bytes.length == size;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("the connection ended");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
