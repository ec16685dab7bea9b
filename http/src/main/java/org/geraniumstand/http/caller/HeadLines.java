package org.geraniumstand.http.caller;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.geraniumstand.support.net.HttpTokens;

/**
 * Joins the lines of one name in a head that has more of them than the HTTP library takes, so that "a: 1" and "a: 2"
 * become "a: 1, 2" (RFC 9110, section 5.3).
 *
 * <p>The first lines of each head pass as they come. Further ones are kept until the head ends, and then pass with most
 * lines of one name joined. A head passes unchanged if any of its bytes so far could be read in two ways (a folded line, a
 * line end without CR, a control character, a line without a colon), or if it is longer than the library takes: the
 * library then does what it does without this class. Lines that say where a message ends or what becomes of its
 * connection are never joined. Bytes after a head are never changed.
 *
 * <p>Confined to one thread at a time.
 */
final class HeadLines {
    /** Number of a head's first header lines that pass unchanged; ordinary heads have fewer. */
    static final int PLAIN_LINES = 100;

    /** Number of lines of one name that the HTTP library takes ({@code HeaderValues} counts them in a byte). */
    static final int MAX_LINES_PER_NAME = 127;

    /** Number of kept lines of one name that aren't joined; the next one takes the values of all later ones. */
    private static final int UNJOINED_LINES = MAX_LINES_PER_NAME - PLAIN_LINES - 1;

    /** Names of lines that aren't joined; {@code Set-Cookie} is the exception that RFC 9110 makes. */
    private static final Set<String> NEVER_JOINED = Set.of(
            "connection",
            "content-length",
            "expect",
            "host",
            "http2-settings",
            "keep-alive",
            "proxy-connection",
            "set-cookie",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private static final ByteBuffer NONE = ByteBuffer.allocate(0);
    private static final int FIRST_MARK = 0x21;
    private static final int DELETE = 0x7f;
    private static final int BYTE = 0xff;

    /** Position in a head; the last two say that the rest passes unchanged. */
    private enum State {
        METHOD,
        TARGET,
        VERSION,
        VERSION_END,
        LINE_START,
        NAME,
        VALUE,
        VALUE_END,
        HEAD_END,
        DONE,
        UNCLEAR
    }

    private final int maxHeadBytes;
    private State state = State.METHOD;
    private int lines;
    private int headBytes;
    private byte[] held = new byte[0];
    private int heldBytes;
    private boolean holding;
    private ByteBuffer kept = NONE;
    private boolean keptIsNew;

    /**
     * Creates an instance for a connection on which no byte has arrived.
     *
     * @param maxHeadBytes size of a head beyond which the HTTP library ends the connection, in bytes
     */
    HeadLines(int maxHeadBytes) {
        this.maxHeadBytes = maxHeadBytes;
    }

    /** Records that the next byte, which may have been kept already, is the first one of a head. */
    void begin() {
        state = State.METHOD;
        lines = 0;
        headBytes = 0;
        keptIsNew = kept.hasRemaining();
    }

    /** Returns whether bytes are kept that must pass before any further ones are read. */
    boolean hasKept() {
        return kept.hasRemaining();
    }

    /** Returns whether kept bytes must pass through {@link #scan} once they are taken, as those that are read. */
    boolean keptIsNew() {
        return keptIsNew && kept.hasRemaining();
    }

    /** Returns the number of bytes that are kept. */
    int keptBytes() {
        return kept.remaining();
    }

    /** Moves as many kept bytes as fit and returns their number. */
    int take(ByteBuffer to) {
        int count = Math.min(to.remaining(), kept.remaining());
        to.put(kept.slice().limit(count));
        kept.position(kept.position() + count);
        if (!kept.hasRemaining()) {
            kept = NONE;
        }
        return count;
    }

    /**
     * Follows bytes that arrived while a head is due.
     *
     * @param bytes the buffer that holds them; its position and limit are neither used nor changed
     * @param from index of the first one
     * @param to index after the last one
     * @return the index after the last one that passes now; this instance keeps what follows
     */
    int scan(ByteBuffer bytes, int from, int to) {
        if (state == State.METHOD && headBytes == 0 && isShortHead(bytes, from, to)) {
            state = State.DONE;
        }
        int passed = holding ? from : to;
        int next = from;
        while (next < to && state != State.DONE && state != State.UNCLEAR) {
            step(bytes.get(next++));
            if (!holding && state == State.LINE_START && lines == PLAIN_LINES) {
                holding = true;
                passed = next;
            }
        }
        if (holding) {
            hold(bytes, passed, next);
            if (state == State.DONE || state == State.UNCLEAR) {
                release(bytes, next, to);
            }
        }
        return passed;
    }

    /** Returns whether a whole head with few lines lies there, as nearly always: the steps of {@link #after} take far longer. */
    private static boolean isShortHead(ByteBuffer bytes, int from, int to) {
        int lineEnds = 0;
        for (int i = from; i < to - 2 && lineEnds < PLAIN_LINES; i++) {
            if (bytes.get(i) == '\n') {
                lineEnds++;
                if (bytes.get(i + 1) == '\r' && bytes.get(i + 2) == '\n') {
                    return true;
                }
            }
        }
        return false;
    }

    private void step(byte next) {
        state = after(next & BYTE);
        headBytes++;
        if (headBytes > maxHeadBytes) {
            state = State.UNCLEAR;
        }
    }

    private State after(int next) {
        switch (state) {
            case METHOD:
                return next == ' ' ? State.TARGET : sameIf(HttpTokens.allows(next));
            case TARGET:
                return next == ' ' ? State.VERSION : sameIf(isVisible(next));
            case VERSION:
                return next == '\r' ? State.VERSION_END : sameIf(isVisible(next));
            case VERSION_END:
                return next == '\n' ? State.LINE_START : State.UNCLEAR;
            case LINE_START:
                return next == '\r' ? State.HEAD_END : HttpTokens.allows(next) ? State.NAME : State.UNCLEAR;
            case NAME:
                return next == ':' ? State.VALUE : sameIf(HttpTokens.allows(next));
            case VALUE:
                return next == '\r' ? State.VALUE_END : sameIf(isVisible(next) || next == ' ' || next == '\t');
            case VALUE_END:
                lines++;
                return next == '\n' ? State.LINE_START : State.UNCLEAR;
            case HEAD_END:
                return next == '\n' ? State.DONE : State.UNCLEAR;
            default:
                return state;
        }
    }

    private State sameIf(boolean allowed) {
        return allowed ? state : State.UNCLEAR;
    }

    private static boolean isVisible(int next) {
        return next >= FIRST_MARK && next != DELETE;
    }

    private void hold(ByteBuffer bytes, int from, int to) {
        int count = to - from;
        if (heldBytes + count > held.length) {
            held = Arrays.copyOf(held, Math.max(heldBytes + count, Math.min(maxHeadBytes, 2 * held.length)));
        }
        bytes.duplicate().clear().position(from).get(held, heldBytes, count);
        heldBytes += count;
    }

    /** Lets the rest of the head pass, then what came after it, then what was kept before. */
    private void release(ByteBuffer bytes, int from, int to) {
        ByteBuffer head = ByteBuffer.wrap(held, 0, heldBytes);
        if (state == State.DONE) {
            head = ByteBuffer.wrap(join(new String(held, 0, heldBytes, StandardCharsets.ISO_8859_1))
                    .getBytes(StandardCharsets.ISO_8859_1));
        }
        ByteBuffer after = bytes.duplicate().clear().position(from).limit(to);
        ByteBuffer all = ByteBuffer.allocate(head.remaining() + after.remaining() + kept.remaining());
        kept = all.put(head).put(after).put(kept).flip();
        keptIsNew = false;
        held = new byte[0];
        heldBytes = 0;
        holding = false;
    }

    /** Joins header lines that are all well-formed and end with the empty line. */
    private static String join(String lines) {
        StringBuilder joined = new StringBuilder(lines.length());
        Map<String, Repeated> names = new LinkedHashMap<>();
        int start = 0;
        while (lines.charAt(start) != '\r') {
            int end = lines.indexOf('\n', start) + 1;
            int colon = lines.indexOf(':', start);
            String name = lines.substring(start, colon).toLowerCase(Locale.ROOT);
            boolean unjoined = NEVER_JOINED.contains(name)
                    || !names.computeIfAbsent(name, Repeated::new).add(lines, start, colon, end);
            if (unjoined) {
                joined.append(lines, start, end);
            }
            start = end;
        }
        names.values().forEach(repeated -> repeated.appendTo(joined));
        return joined.append("\r\n").toString();
    }

    /** The lines of one name. */
    private static final class Repeated {
        private final String separator;
        private int count;
        private StringBuilder line;

        Repeated(String name) {
            // RFC 6265, section 5.4.
            this.separator = name.equals("cookie") ? "; " : ", ";
        }

        /** Adds the line to the joined one, or returns false if it stays as it is. */
        boolean add(String lines, int start, int colon, int end) {
            count++;
            if (count <= UNJOINED_LINES) {
                return false;
            }
            int valueEnd = end - "\r\n".length();
            if (line == null) {
                line = new StringBuilder(lines.substring(start, valueEnd).stripTrailing());
            } else {
                line.append(separator)
                        .append(lines.substring(colon + 1, valueEnd).strip());
            }
            return true;
        }

        void appendTo(StringBuilder joined) {
            if (line != null) {
                joined.append(line).append("\r\n");
            }
        }
    }
}
