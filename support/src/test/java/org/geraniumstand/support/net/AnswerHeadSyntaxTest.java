package org.geraniumstand.support.net;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class AnswerHeadSyntaxTest {
    private static final String START = "HTTP/1.1 200 OK\r\n";
    private static final String TOKEN_BYTES =
            "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";
    private static final int BYTE_VALUES = 256;
    private static final char DELETE = 0x7f;

    /** Returns whether the bytes are accepted, in one part and in two parts cut at any byte. */
    private static boolean accepts(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        boolean accepted = accepts(new AnswerHeadSyntax(), bytes, 0);
        for (int cut = 1; cut < bytes.length; cut++) {
            assertThat("cut after " + cut + " bytes", accepts(new AnswerHeadSyntax(), bytes, cut), is(accepted));
        }
        return accepted;
    }

    private static boolean accepts(AnswerHeadSyntax heads, byte[] bytes, int cut) {
        heads.expect();
        try {
            heads.onRead(ByteBuffer.wrap(bytes), 0, cut);
            heads.onRead(ByteBuffer.wrap(bytes), cut, bytes.length);
            return true;
        } catch (InvalidHeadException _e) {
            return false;
        }
    }

    private static boolean acceptsLine(String line) {
        boolean accepted = accepts(START + "a: 1\r\n" + line + "\r\n\r\n");
        assertThat("as the first line", accepts(START + line + "\r\n\r\n"), is(accepted));
        assertThat("as the last line", accepts(START + "a: 1\r\nb: 2\r\n" + line + "\r\n\r\nbody"), is(accepted));
        return accepted;
    }

    @Test
    void namesHoldTokenBytesOnly() {
        for (char next = 0; next < BYTE_VALUES; next++) {
            boolean token = TOKEN_BYTES.indexOf(next) >= 0;
            String number = "byte " + (int) next;
            assertThat(number, acceptsLine("na" + next + "me: a"), is(token || next == ':'));
            assertThat(number, acceptsLine("name" + next + ": a"), is(token || next == ':'));
            // These end the head or continue a value.
            if (next != '\n' && next != ' ' && next != '\t') {
                assertThat(number, acceptsLine(next + "name: a"), is(token));
            }
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"name", ": a", "", "na\nme: a", "na\rme: a", "na\r\nme: a", "na\n\nme: a", "na\r\n\r\nme: a"})
    void linesNeedANameAndAColon(String line) {
        assertThat(acceptsLine(line), is(line.isEmpty()));
    }

    @ParameterizedTest
    @ValueSource(strings = {"a:", "a: ", "a:\t", "a:b", "a::b", "a: b\tc", "a: \u0080\u00ff", "a: b \t", "a: b c: d"})
    void valuesMayBeEmptyAndHoldWhitespaceAndAnyVisibleByte(String line) {
        assertThat(acceptsLine(line), is(true));
    }

    @Test
    void valuesAndReasonsHoldNoControlBytes() {
        for (char next = 0; next < BYTE_VALUES; next++) {
            // A line end begins another line, which needs a name.
            boolean allowed = next == '\t' || (next >= ' ' && next != DELETE);
            String number = "byte " + (int) next;
            assertThat(number, acceptsLine("a: b" + next + "c"), is(allowed));
            assertThat(number, accepts("HTTP/1.1 200 O" + next + "K\r\n\r\n"), is(allowed));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {" b", "\tb", " b: c", " ", " \r\n c"})
    void linesAfterTheFirstMayContinueAValue(String line) {
        assertThat(accepts(START + "a: 1\r\n" + line + "\r\n\r\n"), is(true));
        assertThat(accepts(START + "a:\r\n" + line + "\r\n\r\n"), is(true));
        assertThat(accepts(START + line + "\r\n\r\n"), is(false));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\na: b\n\n",
                "HTTP/1.1 200 OK\na: b\n\r\n",
                "HTTP/1.1 200 OK\r\na: b\n c\n\r\n",
                "HTTP/1.1 200 OK\r\n\n"
            })
    void linesMayEndWithoutCr(String head) {
        assertThat(accepts(head), is(true));
        assertThat(accepts(head + "a b"), is(true));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 O\rK\r\n\r\n",
                "HTTP/1.1 200\rb: c\r\n\r\n",
                "HTTP/1.1 200 OK\r\na: b\rc: d\r\n\r\n",
                "HTTP/1.1 200 OK\r\na: b\r\rc: d\r\n\r\n",
                "HTTP/1.1 200 OK\r\na: b\r \r\n\r\n",
                "HTTP/1.1 200 OK\r\na: b\r\n\rbody",
                "HTTP/1.1 200 OK\r\n\rbody"
            })
    void crEndsNoLine(String head) {
        assertThat(accepts(head), is(false));
    }

    @ParameterizedTest
    @ValueSource(strings = {"0200", "20", "2000", "+200", "-200", "2 0", "", "200x", " 200"})
    void statusHasThreeDigits(String status) {
        assertThat(accepts("HTTP/1.1 " + status + " OK\r\n\r\n"), is(false));
    }

    @Test
    void bytesAfterAHeadAreNotChecked() {
        assertThat(accepts(START + "a: 1\r\n\r\nX Y: \0\r\n"), is(true));
        assertThat(accepts("HTTP/1.1 200\r\n\r\nX Y: \0\r\n"), is(true));
    }

    @Test
    void nextHeadIsCheckedOnceItIsExpected() {
        AnswerHeadSyntax heads = new AnswerHeadSyntax();
        byte[] sound = (START + "a: 1\r\n\r\nX Y: 1\r\n").getBytes(StandardCharsets.ISO_8859_1);
        byte[] malformed = (START + "a b: 1\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);

        assertThat(accepts(heads, sound, 0), is(true));
        assertThat(accepts(heads, sound, 0), is(true));
        assertThat(accepts(heads, malformed, 0), is(false));
    }

    @ParameterizedTest
    @ValueSource(strings = {"100 Continue\r\n", "103 Early Hints\r\na: 1\r\n"})
    void headBehindAnInterimOneIsChecked(String interim) {
        String first = "HTTP/1.1 " + interim + "\r\n";

        assertThat(accepts(first + first + START + "a: 1\r\n\r\n a b: c"), is(true));
        assertThat(accepts(first + START + "a b: 1\r\n\r\n"), is(false));
        assertThat(accepts(first + "HTTP/1.1 0200 OK\r\n\r\n"), is(false));
        assertThat(accepts("HTTP/1.1 " + interim + "a b: 1\r\n\r\n" + START + "\r\n"), is(false));
    }
}
