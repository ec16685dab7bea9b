package org.geraniumstand.http.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import org.geraniumstand.http.fake.FakeServer;
import org.geraniumstand.http.fake.ListenerFixture;
import org.geraniumstand.model.request.AttemptEnd;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that an answer whose status is none never reaches a caller of the own interface. */
@Timeout(60)
final class AnswerWithoutStatusTest {
    private static FakeServer.Script answering(String status) {
        return (_request, c) -> {
            c.write("HTTP/1.1 " + status + " X\r\nContent-Length: 4\r\n\r\nbody");
            throw new IOException("end of the connection");
        };
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"000", "0", "099", "101", "103", "0200", "00200", "+200", "-200", "2000", "600", "999", "abc"})
    void isNeverRelayed(String status) throws Exception {
        FakeServer.Script sound = (_request, c) -> c.answer(200, "", "made");
        try (ListenerFixture fixture = new ListenerFixture(answering(status), sound)) {
            assertThat(fixture.call("GET", "/pages", "", "").body(), is("made"));
            assertThat(fixture.core().attemptEnds(), contains(AttemptEnd.BROKEN, AttemptEnd.ANSWERED));
        }
        try (ListenerFixture fixture = new ListenerFixture(answering(status), sound)) {
            assertThat(fixture.call("POST", "/orders", "", "one board").status(), is(502));
        }
        try (ListenerFixture fixture = new ListenerFixture(answering(status))) {
            String stream = "{\"model\":\"m\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
            assertThat(fixture.call("POST", "/v1/chat/completions", "", stream).status(), is(502));
        }
    }
}
