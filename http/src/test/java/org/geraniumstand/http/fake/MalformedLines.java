package org.geraniumstand.http.fake;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Lists header lines whose names are not tokens of HTTP (RFC 9110, section 5.1). */
public final class MalformedLines {
    private static final char DELETE = 0x7f;
    private static final String DELIMITERS = "\"(),/;<=>?@[\\]{}";

    private MalformedLines() {}

    /** Returns the lines without their line ends. */
    public static Stream<String> all() {
        List<String> lines = new ArrayList<>(List.of(
                "X-Note",
                ": a",
                "X-No\n\nte: a",
                "X-No\r\rte: a",
                "X-No\n\r\nte: a",
                "X-No\rContent-Length: 9",
                "X-No\nContent-Length: 9",
                "X-\u00e4: a"));
        for (char next = 0; next <= ' '; next++) {
            lines.add("X-No" + next + "te: a");
        }
        lines.add("X-No" + DELETE + "te: a");
        DELIMITERS.chars().forEach(next -> lines.add("X-No" + (char) next + "te: a"));
        for (String before : List.of("\u0001", "\0", "\u001f", "\u007f")) {
            lines.add(before + "X-Note: a");
        }
        for (String end : List.of(" ", "\t", "\0", "\u0001", "\u007f", "\u000b", "\r")) {
            lines.add("X-Note" + end + ": a");
            lines.add("Signed" + end + ": yes");
            lines.add("Content-Length" + end + ": 73");
            lines.add("Transfer-Encoding" + end + ": chunked");
        }
        lines.add("X Content-Length: 9");
        lines.add("X Transfer-Encoding: chunked");
        return lines.stream();
    }

    /**
     * Returns a text in which what cannot be printed is written as numbers.
     *
     * @param line the text
     */
    public static String printable(String line) {
        StringBuilder text = new StringBuilder();
        line.chars()
                .forEach(next ->
                        text.append(next < ' ' || next >= DELETE ? "\\x" + Integer.toHexString(next) : (char) next));
        return text.toString();
    }
}
