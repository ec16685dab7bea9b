package org.geraniumstand.http.opaque;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.geraniumstand.http.fake.Caller;
import org.geraniumstand.http.fake.FakeServer;
import org.junit.jupiter.api.Test;

final class ManyHeaderLinesRelayTest extends OpaqueListenerFixture {
    private static final String START = "POST /safe/a HTTP/1.1\r\nHost: x\r\n" + CALL_HEADERS;
    private static final String MANY = "a:\r\n".repeat(500);

    @Test
    void relaysRequestWithManyLinesOfOneName() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, "x"))) {
            register(server);

            assertThat(
                    call("POST", "/safe/a?b", CALL_HEADERS + MANY.repeat(4), "body")
                            .status(),
                    is(200));
            assertThat(server.requests(), hasSize(1));
            assertThat(server.requests().get(0).target(), is("/safe/a?b"));
            assertThat(server.requests().get(0).body(), is("body"));
        }
    }

    @Test
    void refusesBodyWithTwoLengthsAmongManyLines() throws Exception {
        List<String> lengths = List.of(
                "Content-Length: 3\r\n" + MANY + "Content-Length: 3\r\n",
                MANY + "Content-Length: 3\r\n" + MANY + "Content-Length: 4\r\n",
                "Content-Length: 3\r\n" + MANY + "Transfer-Encoding: chunked\r\n",
                MANY + "Transfer-Encoding: chunked\r\n" + MANY + "Content-Length: 3\r\n");
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, "x"))) {
            register(server);
            for (String length : lengths) {
                try (Caller caller = new Caller(port)) {
                    caller.write(START + length + "\r\n0\r\n\r\n");

                    assertThat(caller.read("POST").status(), is(400));
                }
            }
            assertThat(server.requests(), is(empty()));
        }
    }
}
