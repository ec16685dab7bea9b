package org.geraniumstand.http.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.geraniumstand.http.fake.Caller;
import org.geraniumstand.http.fake.Configurations;
import org.geraniumstand.http.fake.FakeServer;
import org.geraniumstand.http.fake.ListenerFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a part of an answer that its caller takes for a whole one. */
@Timeout(60)
final class PartialAnswerTest {
    private static final String PATH = "/v1/chat/completions";
    private static final String MESSAGES = "\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
    private static final String BODY = "{\"stream\":true,\"max_tokens\":6," + MESSAGES;
    private static final String TWO_CHOICES = "{\"stream\":true,\"max_tokens\":6,\"n\":2," + MESSAGES;
    private static final String WITH_USAGE =
            "{\"stream\":true,\"max_tokens\":6,\"stream_options\":{\"include_usage\":true}," + MESSAGES;

    /** What callers speak, and whether the process is stopping. */
    private enum Form {
        PERSISTENT("HTTP/1.1", "", false),
        CLOSING("HTTP/1.1", "Connection: close\r\n", false),
        STOPPING("HTTP/1.1", "", true),
        OLD("HTTP/1.0", "", false),
        OLD_PERSISTENT("HTTP/1.0", "Connection: keep-alive\r\n", false);

        private final String protocol;
        private final String headers;
        private final boolean stopping;

        Form(String protocol, String headers, boolean stopping) {
            this.protocol = protocol;
            this.headers = headers;
            this.stopping = stopping;
        }
    }

    private static Caller.Answer call(ListenerFixture fixture, Form form, String path, String body) throws IOException {
        if (form.stopping) {
            fixture.listener().disableKeepAlive();
        }
        try (Caller caller = new Caller(fixture.listener().port())) {
            send(caller, form, path, body);
            return caller.read("POST");
        }
    }

    private static void send(Caller caller, Form form, String path, String body) throws IOException {
        caller.write("POST " + path + ' ' + form.protocol + "\r\nHost: x\r\nAuthorization: Bearer "
                + Configurations.TOKEN + "\r\n" + form.headers + "Content-Length: " + body.length() + "\r\n\r\n"
                + body);
    }

    private static String choice(int index, String rest) {
        return "{\"choices\":[{\"index\":" + index + ",\"delta\":" + rest + "}]}";
    }

    private static FakeServer.Script breaksOffAfter(String... events) {
        return (_request, connection) -> {
            connection.startStream();
            for (String event : events) {
                connection.event(event);
            }
            connection.abort();
        };
    }

    @ParameterizedTest
    @EnumSource
    void streamThatItsServerBreaksOffLooksCut(Form form) throws IOException {
        try (ListenerFixture fixture = new ListenerFixture(breaksOffAfter(choice(0, "{\"content\":\"a\"}")))) {
            Caller.Answer answer = call(fixture, form, PATH, BODY);

            assertThat(answer.body(), containsString("id: 1"));
            assertThat(answer.body(), not(containsString("[DONE]")));
            assertThat(answer.complete(), is(false));
        }
    }

    @ParameterizedTest
    @EnumSource
    void answerToAnOrderThatItsServerBreaksOffLooksCut(Form form) throws IOException {
        FakeServer.Script cut = (_request, connection) -> {
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
            connection.abort();
        };
        try (ListenerFixture fixture = new ListenerFixture(cut)) {
            Caller.Answer answer = call(fixture, form, "/orders", "x");

            assertThat(answer.body(), is("half"));
            assertThat(answer.complete(), is(false));
        }
    }

    @ParameterizedTest
    @EnumSource
    void answerWithoutLengthOfAResetServerLooksCut(Form form) throws IOException {
        FakeServer.Script cut = (_request, connection) -> {
            connection.write("HTTP/1.1 200 OK\r\n\r\nhalf");
            Thread.sleep(100);
            connection.reset();
        };
        try (ListenerFixture fixture = new ListenerFixture(cut)) {
            Caller.Answer answer = call(fixture, form, "/orders", "x");

            assertThat(answer.body(), is("half"));
            assertThat(answer.complete(), is(false));
        }
    }

    /** Guards against the end of the first choice that is taken for the end of all. */
    @Test
    void streamWhoseSecondChoiceIsCutLooksCut() throws IOException {
        FakeServer.Script cut = breaksOffAfter(
                choice(0, "{\"content\":\"a\"}"),
                choice(1, "{\"content\":\"b\"}"),
                choice(0, "{},\"finish_reason\":\"stop\""));
        try (ListenerFixture fixture = new ListenerFixture(cut)) {
            Caller.Answer answer = call(fixture, Form.PERSISTENT, PATH, TWO_CHOICES);

            assertThat(answer.body(), containsString("id: 3"));
            assertThat(answer.body(), not(containsString("[DONE]")));
            assertThat(answer.complete(), is(false));
        }
    }

    /** Guards against the tokens of all choices that are counted as those of one. */
    @Test
    void streamOfTwoChoicesThatIsCutHalfwayLooksCut() throws IOException {
        String[] events = new String[6];
        for (int i = 0; i < events.length; i++) {
            events[i] = choice(i % 2, "{\"content\":\"a\"}");
        }
        try (ListenerFixture fixture = new ListenerFixture(breaksOffAfter(events))) {
            Caller.Answer answer = call(fixture, Form.PERSISTENT, PATH, TWO_CHOICES);

            assertThat(answer.body(), containsString("id: 6"));
            assertThat(answer.body(), not(containsString("[DONE]")));
            assertThat(answer.complete(), is(false));
        }
    }

    /** Guards against the event of the usage, which follows the text, that is missing from a stream that ends as complete. */
    @Test
    void streamThatIsCutBeforeItsUsageLooksCut() throws IOException {
        FakeServer.Script cut =
                breaksOffAfter(choice(0, "{\"content\":\"a\"}"), choice(0, "{},\"finish_reason\":\"stop\""));
        try (ListenerFixture fixture = new ListenerFixture(cut)) {
            Caller.Answer answer = call(fixture, Form.PERSISTENT, PATH, WITH_USAGE);

            assertThat(answer.body(), containsString("id: 2"));
            assertThat(answer.body(), not(containsString("[DONE]")));
            assertThat(answer.complete(), is(false));
        }
    }

    /** Guards against connections to servers that the process closes at its end, and whose answers then look whole. */
    @ParameterizedTest
    @EnumSource(names = {"PERSISTENT", "OLD"})
    void answersWithoutLengthLookCutWhenTheListenerCloses(Form form) throws Exception {
        FakeServer.Script stalls = (_request, connection) -> {
            connection.write("HTTP/1.1 200 OK\r\n\r\nhalf");
            connection.stallUntilClosed();
        };
        List<Caller> callers = new ArrayList<>();
        try {
            ListenerFixture fixture = new ListenerFixture(stalls);
            for (int i = 0; i < 40; i++) {
                Caller caller = new Caller(fixture.listener().port());
                callers.add(caller);
                send(caller, form, "/orders", "x");
                caller.awaitAnswer();
            }
            fixture.close();
            for (Caller caller : callers) {
                assertThat(caller.read("POST").complete(), is(false));
            }
        } finally {
            for (Caller caller : callers) {
                caller.close();
            }
        }
    }
}
