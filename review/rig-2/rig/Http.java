package rig;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads heads and bodies of HTTP/1.1 messages. */
public final class Http {
    private Http() {}

    /** The first line and the headers of a message; names of headers are in lower case. */
    public record Head(String first, Map<String, String> headers) {
        public String get(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        public String get(String name, String otherwise) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), otherwise);
        }

        public String method() {
            return first.split(" ")[0];
        }

        public String path() {
            return first.split(" ")[1];
        }

        public int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    /** Returns the next head, or null if the connection ends before one begins. */
    public static Head readHead(InputStream in) throws IOException {
        List<String> lines = new ArrayList<>();
        while (true) {
            String line = readLine(in);
            if (line == null) {
                if (lines.isEmpty()) {
                    return null;
                }
                throw new EOFException("the connection ended inside a head");
            }
            if (line.isEmpty()) {
                if (lines.isEmpty()) {
                    continue;
                }
                break;
            }
            lines.add(line);
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line : lines.subList(1, lines.size())) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return new Head(lines.get(0), headers);
    }

    public static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.length() > 0) {
                    throw new EOFException("the connection ended inside a line");
                }
                return null;
            }
            if (next == '\n') {
                return line.toString();
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
    }

    public static byte[] readLength(InputStream in, int length) throws IOException {
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the connection ended after " + body.length + " of " + length + " bytes");
        }
        return body;
    }

    /** Reads a whole body of a request or an answer. */
    public static byte[] readBody(InputStream in, Head head, boolean answer) throws IOException {
        if (head.get("transfer-encoding") != null) {
            java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new EOFException("the connection ended between chunks");
                }
                int length = Integer.parseInt(size.split(";")[0].trim(), 16);
                if (length == 0) {
                    while (true) {
                        String trailer = readLine(in);
                        if (trailer == null) {
                            throw new EOFException("the connection ended before the last chunk's end");
                        }
                        if (trailer.isEmpty()) {
                            return body.toByteArray();
                        }
                    }
                }
                body.write(readLength(in, length));
                readLine(in);
            }
        }
        if (head.get("content-length") != null) {
            return readLength(in, Integer.parseInt(head.get("content-length")));
        }
        return answer ? in.readAllBytes() : new byte[0];
    }

    public static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 16 * 1024);
    }

    public static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
