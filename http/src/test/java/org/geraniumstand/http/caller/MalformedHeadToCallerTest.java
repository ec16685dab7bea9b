package org.geraniumstand.http.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.List;
import org.geraniumstand.http.fake.Caller;
import org.geraniumstand.http.fake.FakeServer;
import org.geraniumstand.http.fake.ListenerFixture;
import org.geraniumstand.http.fake.MalformedLines;
import org.geraniumstand.model.request.AttemptEnd;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that no caller of the own interface gets an answer whose head has a malformed name. */
@Timeout(60)
final class MalformedHeadToCallerTest {
    private static final String CHAT = "/v1/chat/completions";
    private static final String STREAM =
            "{\"model\":\"m\",\"stream\":true,\"max_tokens\":6,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
    private static final FakeServer.Script SOUND = (_request, c) -> c.answer(200, "", "made");

    static List<String> malformedLines() {
        return MalformedLines.all().toList();
    }

    private static FakeServer.Script answering(String status, String line) {
        return (_request, c) -> {
            c.write("HTTP/1.1 " + status + "\r\n" + line + "\r\nContent-Length: 4\r\n\r\nbody");
            c.stallUntilClosed();
        };
    }

    /** Writes a stream of one token whose head holds the line. */
    private static FakeServer.Script streaming(String line) {
        return (_request, c) -> {
            c.write("HTTP/1.1 200 OK\r\n" + line
                    + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            c.token("malformed");
            c.endStream();
            c.stallUntilClosed();
        };
    }

    private static FakeServer.Script breakingOff() {
        return (_request, c) -> {
            c.startStream();
            c.token("t0 ");
            c.abort();
        };
    }

    @ParameterizedTest
    @MethodSource("malformedLines")
    void lookupGoesOnElsewhere(String line) throws Exception {
        for (String status : List.of("200 OK", "503 Full", "500 Oops")) {
            try (ListenerFixture fixture = new ListenerFixture(answering(status, line), SOUND)) {
                assertThat(status, fixture.call("GET", "/pages", "", "").body(), is("made"));
                assertThat(fixture.core().attemptEnds(), contains(AttemptEnd.BROKEN, AttemptEnd.ANSWERED));
            }
        }
    }

    @ParameterizedTest
    @MethodSource("malformedLines")
    void orderIsNotRepeated(String line) throws Exception {
        for (String status : List.of("200 OK", "503 Full\r\nX-Outcome: not-run", "500 Oops")) {
            try (ListenerFixture fixture = new ListenerFixture(answering(status, line), SOUND)) {
                assertThat(
                        status, fixture.call("POST", "/orders", "", "one board").status(), is(502));
                assertThat(fixture.server(1).requests(), hasSize(0));
            }
        }
    }

    @ParameterizedTest
    @MethodSource("malformedLines")
    void streamHasNoTokenOfAMalformedAnswer(String line) throws Exception {
        try (ListenerFixture fixture = new ListenerFixture(streaming(line))) {
            assertThat(fixture.call("POST", CHAT, "", STREAM).status(), is(502));
        }
        try (ListenerFixture fixture = new ListenerFixture(breakingOff(), streaming(line))) {
            Caller.Answer answer = fixture.call("POST", CHAT, "", STREAM);

            assertThat(answer.body(), not(containsString("malformed")));
            assertThat(answer.body(), not(containsString("[DONE]")));
        }
    }
}
