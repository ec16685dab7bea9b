package org.geraniumstand.http.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import org.geraniumstand.http.fake.Caller;
import org.geraniumstand.http.fake.Configurations;
import org.geraniumstand.http.fake.ListenerFixture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(60)
final class BadInputTest {
    private static final String CHAT = "/v1/chat/completions";

    private ListenerFixture fixture;

    @BeforeEach
    void start() {
        fixture = new ListenerFixture((_request, connection) -> connection.answer(200, "", "reached"));
    }

    @AfterEach
    void verifyNothingReachedBackendServer() {
        assertThat(fixture.server(0).requests().size(), is(0));
        assertThat(fixture.core().arrivals(), is(0));
        fixture.close();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "[]",
                "{\"messages\":[]}",
                "{\"messages\":[1]}",
                "{\"messages\":[{\"role\":\"user\"}],\"max_tokens\":0}",
                "{\"messages\":[{\"role\":\"user\"}],\"max_tokens\":1.5}",
                "{\"messages\":[{\"role\":\"user\"}],\"max_tokens\":99999999999}",
                "{\"messages\":[{\"role\":\"user\"}],\"stream\":\"yes\"}",
                "{\"messages\":[{\"role\":\"user\"}]} {}"
            })
    void rejectsMalformedCompletion(String body) throws IOException {
        Caller.Answer answer = fixture.call("POST", CHAT, "", body);

        assertThat(answer.status(), is(400));
        assertThat(answer.body(), containsString("\"outcome\":\"not-run\""));
    }

    @Test
    void rejectsDeeplyNestedJson() throws IOException {
        String deep = "{\"messages\":[{\"role\":\"user\",\"content\":" + "[".repeat(500) + "]".repeat(500) + "}]}";

        assertThat(fixture.call("POST", CHAT, "", deep).status(), is(400));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Request-Timeout: soon\r\n",
                "Request-Timeout: 0\r\n",
                "Request-Timeout: NaN\r\n",
                "Request-Timeout: 1\r\nRequest-Timeout: 2\r\n",
                "Authorization: Bearer other\r\n",
                "X-Request-Id: a\r\nX-Request-Id: b\r\n",
                "X-Request-Id: \r\n",
                "Idempotency-Key: \r\n",
                "Last-Event-ID: x\r\n",
                "Last-Event-ID: -1\r\n",
                "Last-Event-ID: 99999999999\r\n"
            })
    void rejectsInvalidHeader(String headers) throws IOException {
        assertThat(fixture.call("GET", "/pages", headers, "").status(), is(400));
    }

    @Test
    void rejectsTooLongKeyAndRequestId() throws IOException {
        String text = "x".repeat(300);

        assertThat(
                fixture.call("GET", "/pages", "Idempotency-Key: " + text + "\r\n", "")
                        .status(),
                is(400));
        assertThat(
                fixture.call("GET", "/pages", "X-Request-Id: " + text + "\r\n", "")
                        .status(),
                is(400));
    }

    @ParameterizedTest
    @ValueSource(strings = {"/pages/../orders", "/pages/%2e%2e/orders", "//pages", "/pages/./a"})
    void rejectsAmbiguousPath(String path) throws IOException {
        assertThat(fixture.call("GET", path, "", "").status(), is(400));
    }

    @Test
    void rejectsUnknownRouteAndTeam() throws IOException {
        assertThat(fixture.call("GET", "/nowhere", "", "").status(), is(404));
        try (Caller caller = new Caller(fixture.listener().port())) {
            caller.write("GET /pages HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer wrong\r\n\r\n");
            assertThat(caller.read("GET").status(), is(401));
        }
        try (Caller caller = new Caller(fixture.listener().port())) {
            caller.write("GET /pages HTTP/1.1\r\nHost: x\r\n\r\n");
            assertThat(caller.read("GET").status(), is(401));
        }
    }

    @Test
    void rejectsTooLargeContentLength() throws IOException {
        try (Caller caller = new Caller(fixture.listener().port())) {
            caller.write("POST /pages HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + Configurations.TOKEN
                    + "\r\nContent-Length: " + (Configurations.MAX_BODY_BYTES + 1) + "\r\n\r\n");
            assertThat(caller.read("POST").status(), is(413));
        }
    }

    @Test
    void rejectsTooLargeChunkedBody() throws IOException {
        String chunk = "x".repeat(10_000);
        try (Caller caller = new Caller(fixture.listener().port())) {
            caller.write("POST /pages HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + Configurations.TOKEN
                    + "\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int i = 0; i < 10; i++) {
                caller.write(Integer.toHexString(chunk.length()) + "\r\n" + chunk + "\r\n");
            }
            caller.write("5\r\nxxxxx\r\n");
            assertThat(caller.read("POST").status(), is(413));
        }
    }

    @Test
    void rejectsBodyThatArrivesTooSlowly() throws IOException {
        try (Caller caller = new Caller(fixture.listener().port())) {
            caller.write("POST /pages HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + Configurations.TOKEN
                    + "\r\nContent-Length: 10\r\n\r\nhalf");
            assertThat(caller.read("POST").status(), is(408));
        }
    }

    @Test
    void rejectsTooManyAndTooLargeHeaders() throws IOException {
        String many = "A: b\r\n".repeat(500);
        String large = "A: " + "b".repeat(100_000) + "\r\n";
        for (String headers : new String[] {many, large}) {
            try (Caller caller = new Caller(fixture.listener().port())) {
                caller.write("GET /pages HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n");
                int status = caller.read("GET").status();
                assertThat(status, greaterThanOrEqualTo(400));
                assertThat(status, lessThan(500));
            }
        }
    }

    @Test
    void rejectsReconnectToStreamThatNoProcessHolds() throws IOException {
        Caller.Answer answer = fixture.call("POST", CHAT, "Last-Event-ID: 3\r\nX-Request-Id: mine\r\n", "{}");

        assertThat(answer.status(), is(409));
        assertThat(answer.body(), containsString("stream-unknown"));
    }
}
