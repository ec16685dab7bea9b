package org.geraniumstand.http.opaque;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.geraniumstand.http.fake.Caller;
import org.geraniumstand.http.fake.FakeServer;
import org.geraniumstand.http.fake.MalformedLines;
import org.geraniumstand.model.id.ServerId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that no caller of a relayed call gets an answer whose head has a malformed name. */
final class MalformedHeadRelayTest extends OpaqueListenerFixture {
    private static final String EVENTS = "id: 1\ndata: a\n\n";

    private static final int SLOTS = 8;

    /** Number of calls that are retried by one process; fewer than its budget allows. */
    private static final int RETRIES = 40;

    private final List<ServerId> registered = new ArrayList<>();

    static List<String> malformedLines() {
        return MalformedLines.all().toList();
    }

    private static String answer(String status, String line, String body) {
        return "HTTP/1.1 " + status + "\r\n" + SIGNED_HEADERS + line + "\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    private static FakeServer.Script malformedFirst(String malformed, String sound) {
        AtomicBoolean faulty = new AtomicBoolean(true);
        return (_request, c) -> {
            if (faulty.getAndSet(false)) {
                c.write(malformed);
                c.stallUntilClosed();
            }
            c.answer(200, SIGNED_HEADERS, sound);
        };
    }

    /** Registers servers in the place of all others, so that what is known of those doesn't count. */
    private void replaceServers(int slots, FakeServer... servers) throws Exception {
        configure();
        for (ServerId id : registered) {
            onThread(() -> dispatcher.fleet().onRemoved(id));
        }
        registered.clear();
        for (FakeServer server : servers) {
            ServerId id = new ServerId("s" + server.port());
            registered.add(id);
            register(id.value(), server.port(), slots);
        }
    }

    /** Guards against an order that runs twice, and against a server's only place that stays taken. */
    @Test
    void orderIsNotRepeated() throws Exception {
        for (String line : malformedLines()) {
            String malformed = answer("200 OK", line, "body");
            try (FakeServer server = FakeServer.start(malformedFirst(malformed, "fine"))) {
                replaceServers(1, server);
                Caller.Answer answer = call("POST", "/unsafe/", CALL_HEADERS, "x");

                assertThat(MalformedLines.printable(line), answer.status(), is(502));
                assertThat(answer.headers().containsKey("signed"), is(false));
                assertThat(server.requests(), hasSize(1));
                assertThat(call("POST", "/unsafe/", CALL_HEADERS, "x").body(), is("fine"));
            }
        }
    }

    /** The rest of such a head can't be relied on either, so the statement that the order was not run doesn't count. */
    @ParameterizedTest
    @ValueSource(strings = {"503 Full\r\nnot-run: 1", "500 Oops", "404 Gone"})
    void refusedOrFailedOrderIsNeitherRepeatedNorPassedOn(String status) throws Exception {
        for (String line : malformedLines()) {
            FakeServer.Script script = malformedFirst(answer(status, line, "oops"), "fine");
            try (FakeServer one = FakeServer.start(script);
                    FakeServer two = FakeServer.start(script)) {
                replaceServers(SLOTS, one, two);
                Caller.Answer answer = call("POST", "/unsafe/", CALL_HEADERS, "x");

                assertThat(MalformedLines.printable(line), answer.status(), is(502));
                assertThat(answer.headers().containsKey("signed"), is(false));
                assertThat(one.requests().size() + two.requests().size(), is(1));
            }
        }
    }

    /** Returns parts of the lines that are small enough for the retry budget of a process. */
    static Stream<List<String>> partsOfMalformedLines() {
        List<String> lines = malformedLines();
        return IntStream.iterate(0, from -> from < lines.size(), from -> from + RETRIES)
                .mapToObj(from -> lines.subList(from, Math.min(lines.size(), from + RETRIES)));
    }

    static Stream<Arguments> repeatableCalls() {
        return Stream.of("200 OK", "503 Full\r\nnot-run: 1", "500 Oops")
                .flatMap(status -> partsOfMalformedLines()
                        .flatMap(lines -> Stream.of(
                                Arguments.of("GET", "/safe/", status, lines),
                                Arguments.of("POST", "/stream/", status, lines))));
    }

    @ParameterizedTest
    @MethodSource("repeatableCalls")
    void callThatMayBeRepeatedGoesOnElsewhere(String method, String target, String status, List<String> lines)
            throws Exception {
        for (String line : lines) {
            FakeServer.Script script = malformedFirst(answer(status, line, "id: 1\ndata: b\n\n"), EVENTS);
            try (FakeServer one = FakeServer.start(script);
                    FakeServer two = FakeServer.start(script)) {
                replaceServers(SLOTS, one, two);
                Caller.Answer answer = call(method, target, CALL_HEADERS, "");

                assertThat(MalformedLines.printable(line), answer.body(), is(EVENTS));
                assertThat(answer.complete(), is(true));
                assertThat(one.requests(), hasSize(1));
                assertThat(two.requests(), hasSize(1));
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"X-Note: a\0b", "X-Note: a\u0001b", "X-Note: \u007f", "X-Note: a\rX-More: b"})
    void orderIsNotAnsweredWithAControlByteInAValue(String line) throws Exception {
        for (String status : List.of("200 OK", "500 Oops", "404 Gone")) {
            try (FakeServer server = FakeServer.start(malformedFirst(answer(status, line, "body"), "fine"))) {
                replaceServers(SLOTS, server);

                assertThat(status, call("POST", "/unsafe/", CALL_HEADERS, "x").status(), is(502));
                assertThat(server.requests(), hasSize(1));
            }
        }
    }

    @Test
    void streamThatMayNotBeRepeatedFails() throws Exception {
        for (String line : malformedLines()) {
            try (FakeServer server = FakeServer.start(malformedFirst(answer("200 OK", line, EVENTS), EVENTS))) {
                replaceServers(SLOTS, server);

                assertThat(call("POST", "/once/", CALL_HEADERS, "x").status(), is(502));
                assertThat(server.requests(), hasSize(1));
            }
        }
    }

    /** Guards against events of a malformed answer in a stream that is then resumed and ends as complete. */
    @ParameterizedTest
    @ValueSource(strings = {"200 OK", "503 Full\r\nnot-run: 1", "500 Oops"})
    void resumedStreamHasNoByteOfAMalformedAnswer(String status) throws Exception {
        for (String line : malformedLines()) {
            AtomicInteger calls = new AtomicInteger();
            FakeServer.Script script = (_request, c) -> {
                int number = calls.incrementAndGet();
                if (number == 2) {
                    c.write(answer(status, line, "id: 2\ndata: x\n\n"));
                    c.stallUntilClosed();
                }
                startChunks(c);
                chunk(c, number == 1 ? EVENTS : "id: 2\ndata: b\n\n");
                if (number == 1) {
                    throw new IOException("simulated connection loss");
                }
                c.write("0\r\n\r\n");
            };
            try (FakeServer one = FakeServer.start(script);
                    FakeServer two = FakeServer.start(script);
                    FakeServer three = FakeServer.start(script)) {
                replaceServers(SLOTS, one, two, three);
                Caller.Answer answer = call("POST", "/stream/", CALL_HEADERS, "x");

                assertThat(MalformedLines.printable(line), answer.body(), is(EVENTS));
                assertThat(answer.complete(), is(false));
            }
        }
    }

    @ParameterizedTest
    @CsvSource({
        "'!#$%&''*+-.^_`|~: a', !#$%&'*+-.^_`|~, a",
        "X-Note:, x-note, ''",
        "'X-Note: ', x-note, ''",
        "X-Note:a, x-note, a",
        "X-Note::a, x-note, :a",
        "'X-Note: a\tb', x-note, a b",
        "'X-Note: a\\r\\n  b', x-note, a b"
    })
    void soundHeadIsRelayed(String line, String name, String value) throws Exception {
        String text = answer("200 OK", line.replace("\\r", "\r").replace("\\n", "\n"), "body");
        try (FakeServer server = FakeServer.start((_request, c) -> c.write(text))) {
            register(server);
            Caller.Answer answer = call("POST", "/unsafe/", CALL_HEADERS, "x");

            assertThat(answer.status(), is(200));
            assertThat(answer.headers().get(name), is(value));
            assertThat(answer.body(), is("body"));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"X Note: a", "X-Note : a", "X-\u0001Note: a"})
    void lineInATrailerIsNotPassedOn(String line) throws Exception {
        try (FakeServer server = FakeServer.start((_request, c) -> {
            startChunks(c);
            chunk(c, "body");
            c.write("0\r\n" + line + "\r\n\r\n");
        })) {
            register(server);
            Caller.Answer answer = call("POST", "/unsafe/", CALL_HEADERS, "x");

            assertThat(answer.body(), is("body"));
            assertThat(answer.headers().keySet().stream().anyMatch(name -> name.startsWith("x")), is(false));
        }
    }
}
