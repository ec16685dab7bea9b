package org.geraniumstand.http.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.geraniumstand.http.fake.FakeServer;
import org.geraniumstand.model.request.AttemptEnd;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that an answer whose status is none of HTTP's final ones is no answer. */
@Timeout(60)
final class AnswerStatusTest extends AttemptFixture {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "000",
                "0",
                "00",
                "099",
                "99",
                "0200",
                "00200",
                "20",
                "2",
                "200x",
                "2x0",
                "-200",
                "+200",
                "2000",
                "600",
                "999",
                "101",
                "199",
                "103",
                "4294967496",
                "18446744073709551816",
                "abc",
                "",
                "2.0",
                "0x200"
            })
    void anythingButThreeDigitsOfAFinalStatusIsBroken(String status) throws Exception {
        for (String framing : new String[] {"Content-Length: 4\r\n", "", "Transfer-Encoding: chunked\r\n"}) {
            try (FakeServer server = FakeServer.start((_request, c) -> {
                c.write("HTTP/1.1 " + status + " X\r\n" + framing + "\r\n"
                        + (framing.startsWith("T") ? "4\r\nbody\r\n0\r\n\r\n" : "body"));
                throw new IOException("end of the connection");
            })) {
                assertThat(framing, send(server, "POST", "a").end(), is(AttemptEnd.BROKEN));
            }
        }
    }

    /** The connection of an answer serves the next request, too. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "0200", "00200", "4294967496"})
    void isCheckedOnAPooledConnectionToo(String status) throws Exception {
        AtomicInteger answers = new AtomicInteger();
        try (FakeServer server = FakeServer.start((_request, c) -> {
            String text = answers.getAndIncrement() == 0 ? "200" : status;
            c.write("HTTP/1.1 " + text + " X\r\nContent-Length: 4\r\n\r\nbody");
        })) {
            assertThat(send(server, "POST", "a"), is(new Ended(AttemptEnd.ANSWERED, 200, "body")));
            assertThat(send(server, "POST", "b").end(), is(AttemptEnd.BROKEN));
        }
    }
}
