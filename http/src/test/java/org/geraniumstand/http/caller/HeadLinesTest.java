package org.geraniumstand.http.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class HeadLinesTest {
    private static final int MAX_HEAD_BYTES = 32 * 1024;
    private static final int MANY = 2_000;
    private static final String START = "POST /a?b=c HTTP/1.1\r\n";
    private static final String END = "\r\n\r\n";
    private static final List<String> NAMES = List.of("a", "A", "Cookie", "X-Long-Name", "Accept", "Host", "b");
    private static final List<String> VALUES =
            List.of("", " ", " 1", "2 ", " x, y", " \"q, r\"", "\t t \t", " k=v", " \u00e4\u00ff", " colon: no name");
    private static final List<String> FRAMING =
            List.of("Content-Length: 3", "Content-Length: 4", "Transfer-Encoding: chunked", "Host: x", "Connection: a");

    @Property(seed = "53", tries = 300)
    void headsKeepTheirNamesAndValuesAndWhatFollowsIsUnchanged(@ForAll long seed) {
        Random random = new Random(seed);
        List<String> heads = new ArrayList<>();
        List<String> bodies = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            heads.add(head(random));
            bodies.add(body(random));
        }
        Stream stream = new Stream(heads, bodies, random);
        for (int i = 0; i < heads.size(); i++) {
            String head = stream.nextHead();
            String message = "seed " + seed + ", head " + i;
            if (lines(heads.get(i)).size() < HeadLines.PLAIN_LINES) {
                assertThat(message, head, is(heads.get(i)));
            }
            assertThat(message, values(head), is(values(heads.get(i))));
            assertThat(message, head.length(), is(lessThanOrEqualTo(heads.get(i).length())));
            assertThat(message, countsUpToTwo(head), is(countsUpToTwo(heads.get(i))));
            assertThat(message, largestCount(head), is(lessThanOrEqualTo(HeadLines.MAX_LINES_PER_NAME)));
            assertThat(message, stream.nextBody(bodies.get(i).length()), is(bodies.get(i)));
        }
    }

    @Property(seed = "54", tries = 300)
    void headsThatCanBeReadInTwoWaysPassUnchanged(@ForAll long seed) {
        Random random = new Random(seed);
        List<String> odd = List.of(
                "a: 1\n",
                " folded\r\n",
                "\tfolded\r\n",
                "no colon\r\n",
                "a : 1\r\n",
                ": 1\r\n",
                "a: \0\r\n",
                "a: 1\r\r\n",
                "a: \u007f\r\n",
                "\u00e4: 1\r\n",
                "\n",
                "a: \u000b\r\n",
                "a\r\n: 1\r\n");
        List<String> lines = new ArrayList<>(lines(START + "a:\r\n".repeat(random.nextInt(600)) + "\r\n"));
        lines.add(random.nextInt(lines.size() + 1), odd.get(random.nextInt(odd.size())));
        String text = START + String.join("", lines) + "\r\n" + body(random);

        assertThat("seed " + seed, passed(text, random), is(text));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\r\nGET / HTTP/1.1\r\n",
                "\nGET / HTTP/1.1\r\n",
                "GET /\r\n",
                "GET / HTTP/1.1\n",
                "GET  / HTTP/1.1\r\n",
                "GET / HTTP/1.1 \r\n",
                " GET / HTTP/1.1\r\n",
                "GET /\0 HTTP/1.1\r\n"
            })
    void headsWithAnUnclearFirstLinePassUnchanged(String start) {
        String text = start + "a:\r\n".repeat(MANY) + "\r\n";

        assertThat(passed(text, new Random(1)), is(text));
    }

    @Test
    void linesOfOneNameFitTheLibrary() {
        String head =
                new Stream(List.of(START + "a:\r\n".repeat(MANY) + "\r\n"), List.of(""), new Random(1)).nextHead();

        assertThat(lines(head).size(), is(HeadLines.MAX_LINES_PER_NAME));
    }

    @Test
    void linesThatFrameAMessageStayAsTheyAreAndInOrder() {
        for (int seed = 0; seed < 50; seed++) {
            Random random = new Random(seed);
            List<String> lines = new ArrayList<>();
            List<String> framing = new ArrayList<>();
            for (int i = 0; i < 500; i++) {
                lines.add("a: " + i + "\r\n");
                if (random.nextInt(10) == 0) {
                    String line = FRAMING.get(random.nextInt(FRAMING.size())) + "\r\n";
                    lines.add(line);
                    framing.add(line);
                }
            }
            String head = START + String.join("", lines) + "\r\n";
            List<String> passed = lines(new Stream(List.of(head), List.of("x"), random).nextHead());
            passed.removeIf(line -> line.startsWith("a:"));

            assertThat("seed " + seed, passed, is(framing));
        }
    }

    @Test
    void headThatIsLongerThanTheLibraryTakesPassesUnchanged() {
        String text = START + "a:\r\n".repeat(MAX_HEAD_BYTES / 4) + "\r\n";

        assertThat(passed(text, new Random(1)), is(text));
    }

    @Test
    void unfinishedHeadPassesItsFirstLinesOnly() {
        HeadLines lines = new HeadLines(MAX_HEAD_BYTES);
        ByteBuffer bytes = buffer(START + "a:\r\n".repeat(MANY));

        int passed = lines.scan(bytes, 0, bytes.limit());

        assertThat(passed, is(START.length() + 4 * HeadLines.PLAIN_LINES));
        assertThat(lines.hasKept(), is(false));
    }

    /** Delivers messages in parts of random sizes, as {@link GatedConnection} reads them. */
    private static final class Stream {
        private final Random random;
        private final ByteBuffer source;
        private final HeadLines lines = new HeadLines(MAX_HEAD_BYTES);
        private final StringBuilder unread = new StringBuilder();
        private final int partBytes;
        private boolean inHead = true;

        Stream(List<String> heads, List<String> bodies, Random random) {
            this.random = random;
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < heads.size(); i++) {
                all.append(heads.get(i)).append(bodies.get(i));
            }
            source = buffer(all.toString());
            partBytes = 1 + random.nextInt(random.nextBoolean() ? 50 : 10_000);
        }

        String nextHead() {
            while (unread.indexOf(END) < 0) {
                read();
            }
            inHead = false;
            return next(unread.indexOf(END) + END.length());
        }

        /** Returns the body and gives back what was read beyond it, as the library does. */
        String nextBody(int length) {
            while (unread.length() < length) {
                read();
            }
            String body = next(length);
            if (random.nextBoolean()) {
                read();
            }
            lines.begin();
            inHead = true;
            ByteBuffer extra = buffer(unread.toString());
            unread.setLength(lines.scan(extra, 0, extra.limit()));
            return body;
        }

        String rest() {
            while (source.hasRemaining() || lines.hasKept()) {
                read();
            }
            return next(unread.length());
        }

        private String next(int length) {
            String text = unread.substring(0, length);
            unread.delete(0, length);
            return text;
        }

        private void read() {
            ByteBuffer part = ByteBuffer.allocate(1 + random.nextInt(partBytes));
            boolean scanned = !inHead || (lines.hasKept() && !lines.keptIsNew());
            if (lines.hasKept()) {
                lines.take(part);
            } else {
                int count = Math.min(part.remaining(), source.remaining());
                part.put(source.slice().limit(count));
                source.position(source.position() + count);
            }
            int passed = scanned ? part.position() : lines.scan(part, 0, part.position());
            unread.append(
                    StandardCharsets.ISO_8859_1.decode(part.position(passed).flip()));
        }
    }

    private static String passed(String text, Random random) {
        return new Stream(List.of(text), List.of(""), random).rest();
    }

    private static ByteBuffer buffer(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String head(Random random) {
        int count = random.nextInt(4) == 0 ? random.nextInt(1_200) : random.nextInt(160);
        StringBuilder head = new StringBuilder(START);
        int hosts = 0;
        for (int i = 0; i < count; i++) {
            String name = NAMES.get(random.nextInt(random.nextBoolean() ? 1 : NAMES.size()));
            if (name.equals("Host") && hosts++ >= HeadLines.MAX_LINES_PER_NAME) {
                name = "b";
            }
            head.append(name)
                    .append(':')
                    .append(VALUES.get(random.nextInt(VALUES.size())))
                    .append("\r\n");
        }
        return head.append("\r\n").toString();
    }

    private static String body(Random random) {
        byte[] bytes = new byte[random.nextInt(3_000)];
        random.nextBytes(bytes);
        String body = new String(bytes, StandardCharsets.ISO_8859_1);
        return random.nextBoolean() ? body : "a:\r\n".repeat(random.nextInt(600)) + body;
    }

    private static List<String> lines(String head) {
        List<String> lines = new ArrayList<>();
        int start = head.indexOf('\n') + 1;
        for (int end = head.indexOf('\n', start) + 1; end < head.length(); end = head.indexOf('\n', start) + 1) {
            lines.add(head.substring(start, end));
            start = end;
        }
        return lines;
    }

    private static String name(String line) {
        return line.substring(0, line.indexOf(':')).toLowerCase(Locale.ROOT);
    }

    /** Returns the parts of all values of each name, in order. */
    private static Map<String, List<String>> values(String head) {
        Map<String, List<String>> values = new TreeMap<>();
        for (String line : lines(head)) {
            List<String> parts = values.computeIfAbsent(name(line), _name -> new ArrayList<>());
            String separator = name(line).equals("cookie") ? ";" : ",";
            for (String part : line.substring(line.indexOf(':') + 1).split(separator, -1)) {
                parts.add(part.strip());
            }
        }
        return values;
    }

    private static Map<String, Integer> counts(String head) {
        Map<String, Integer> counts = new TreeMap<>();
        lines(head).forEach(line -> counts.merge(name(line), 1, Integer::sum));
        return counts;
    }

    /** Returns how often each name occurs, counted up to two, as some names must not be repeated. */
    private static Map<String, Integer> countsUpToTwo(String head) {
        Map<String, Integer> counts = counts(head);
        counts.replaceAll((_name, count) -> Math.min(2, count));
        return counts;
    }

    private static int largestCount(String head) {
        return counts(head).values().stream().max(Integer::compare).orElse(0);
    }
}
