package org.geraniumstand.http.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.geraniumstand.http.fake.Caller;
import org.geraniumstand.http.fake.Configurations;
import org.geraniumstand.http.fake.Eventually;
import org.geraniumstand.http.fake.FakeServer;
import org.geraniumstand.http.fake.ListenerFixture;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.support.json.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(60)
final class HandoverTest {
    private static final String PATH = "/v1/chat/completions";
    private static final String ID = "X-Request-Id: mine\r\n";
    private static final String BODY =
            "{\"stream\":true,\"max_tokens\":6,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";

    private static final FakeServer.Script STALLS_AFTER_TWO_TOKENS = (_request, connection) -> {
        connection.startStream();
        connection.token("t0 ");
        connection.token("t1 ");
        connection.stallUntilClosed();
    };
    private static final FakeServer.Script REMAINING_TOKENS = (request, connection) -> {
        int generatedTokens = generatedTokens(request);
        connection.startStream();
        for (int i = generatedTokens; i < 6; i++) {
            connection.token("t" + i + " ");
        }
        connection.endStream();
    };

    @Test
    void servesRestOfStreamAtReceivingProcess() throws IOException, InterruptedException {
        try (ListenerFixture old = new ListenerFixture(STALLS_AFTER_TWO_TOKENS);
                ListenerFixture receiver = new ListenerFixture(REMAINING_TOKENS)) {
            String first = handOver(old, receiver);
            Caller.Answer rest = receiver.call("POST", PATH, ID + "Last-Event-ID: 2\r\n", BODY);

            assertThat(first, not(containsString("[DONE]")));
            assertRemainingEvents(rest);
            Eventually.await("the old attempt is closed", () -> old.server(0).disconnects() == 1);
        }
    }

    @Test
    void resendsEventsThatTheCallerMissed() throws IOException, InterruptedException {
        try (ListenerFixture old = new ListenerFixture(STALLS_AFTER_TWO_TOKENS);
                ListenerFixture receiver = new ListenerFixture(REMAINING_TOKENS)) {
            handOver(old, receiver);
            Caller.Answer rest = receiver.call("POST", PATH, ID + "Last-Event-ID: 1\r\n", BODY);

            assertThat(rest.body(), containsString("id: 2\ndata: {\"choices\":[{\"delta\":{\"content\":\"t1 \"}}]}"));
            assertThat(rest.body(), containsString("[DONE]"));
        }
    }

    /** Guards against an older state of a stream that replaces the newer one, which the caller goes on from. */
    @Test
    void keepsTheNewerStateOfAStreamThatIsTakenOverTwice() throws IOException, InterruptedException {
        try (ListenerFixture receiver = new ListenerFixture(STALLS_AFTER_TWO_TOKENS, STALLS_AFTER_TWO_TOKENS)) {
            HeldStreams held = receiver.listener().heldStreams();
            boolean newer = held.takeOver(snapshot("t0 t1 t2 t3 ", 4), new RequestId("taken-1"));
            Eventually.await("the receiving process holds the stream", () -> held.holds("counter", "mine"));
            boolean older = held.takeOver(snapshot("t0 ", 1), new RequestId("taken-2"));
            Thread.sleep(200);
            try (Caller caller = new Caller(receiver.listener().port())) {
                caller.send("POST", PATH, ID + "Last-Event-ID: 5\r\n", BODY);

                assertThat(caller.readUntil("\n\n"), containsString("id: 6"));
            }
            assertThat(newer, is(true));
            assertThat(older, is(false));
        }
    }

    /** Guards against a check for a newer state that doesn't see a state which arrived just before. */
    @Test
    void keepsTheNewerOfTwoStatesThatArriveTogether() throws IOException, InterruptedException {
        for (int round = 0; round < 10; round++) {
            try (ListenerFixture receiver = new ListenerFixture(STALLS_AFTER_TWO_TOKENS, STALLS_AFTER_TWO_TOKENS)) {
                HeldStreams held = receiver.listener().heldStreams();
                boolean newer = held.takeOver(snapshot("t0 t1 t2 t3 ", 4), new RequestId("taken-1"));
                boolean older = held.takeOver(snapshot("t0 ", 1), new RequestId("taken-2"));

                assertThat(newer, is(true));
                assertThat(older, is(false));
                try (Caller caller = new Caller(receiver.listener().port())) {
                    caller.send("POST", PATH, ID + "Last-Event-ID: 4\r\n", BODY);

                    assertThat(caller.readUntil("id: 6"), containsString("id: 5"));
                }
            }
        }
    }

    /** Guards against a state at which the stream was taken over, or passed since, that replaces what the caller has. */
    @ParameterizedTest
    @ValueSource(ints = {4, 5, 6})
    void keepsStreamThatHasReachedTheStateOfALaterOne(int position) throws IOException, InterruptedException {
        try (ListenerFixture receiver = new ListenerFixture(STALLS_AFTER_TWO_TOKENS, STALLS_AFTER_TWO_TOKENS)) {
            HeldStreams held = receiver.listener().heldStreams();
            held.takeOver(snapshot("t0 t1 t2 t3 ", 4), new RequestId("taken-1"));
            try (Caller caller = new Caller(receiver.listener().port())) {
                caller.send("POST", PATH, ID + "Last-Event-ID: 4\r\n", BODY);
                caller.readUntil("id: 6");
            }
            boolean taken = held.takeOver(
                    snapshot("t0 t1 t2 t3 t4 t5 ".substring(0, 3 * position), position), new RequestId("taken-2"));
            try (Caller caller = new Caller(receiver.listener().port())) {
                caller.send("POST", PATH, ID + "Last-Event-ID: 6\r\n", BODY);

                assertThat(taken, is(false));
                assertThat(receiver.server(1).requests().size(), is(0));
                assertThat(receiver.server(0).disconnects(), is(0));
            }
        }
    }

    /** Guards against the run of a replaced stream that goes on at its engine, and sends events to its caller. */
    @Test
    void endsStreamThatIsReplacedByANewerState() throws IOException, InterruptedException {
        try (ListenerFixture receiver = new ListenerFixture(STALLS_AFTER_TWO_TOKENS, STALLS_AFTER_TWO_TOKENS)) {
            HeldStreams held = receiver.listener().heldStreams();
            receiver.core().setResponseTimeout(60_000);
            held.takeOver(snapshot("t0 ", 1), new RequestId("taken-1"));
            try (Caller old = new Caller(receiver.listener().port())) {
                old.send("POST", PATH, ID + "Last-Event-ID: 1\r\n", BODY);
                old.readUntil("id: 3");
                boolean newer = held.takeOver(snapshot("t0 t1 t2 t3 ", 4), new RequestId("taken-2"));

                assertThat(newer, is(true));
                Eventually.await(
                        "the replaced run is ended",
                        () -> receiver.server(0).disconnects()
                                        + receiver.server(1).disconnects()
                                == 1);
                assertThat(held.holds("counter", "mine"), is(true));
                IOException end = assertThrows(IOException.class, () -> old.readUntil("[DONE]"));
                assertThat(end, not(instanceOf(SocketTimeoutException.class)));
            }
            try (Caller caller = new Caller(receiver.listener().port())) {
                caller.send("POST", PATH, ID + "Last-Event-ID: 4\r\n", BODY);

                assertThat(caller.readUntil("id: 6"), containsString("id: 5"));
            }
        }
    }

    private static StreamSnapshot snapshot(String generated, int tokens) {
        List<String> events = Arrays.stream(generated.split(" ", -1))
                .filter(token -> !token.isEmpty())
                .map(token -> "{\"choices\":[{\"delta\":{\"content\":\"" + token + " \"}}]}")
                .toList();
        return new StreamSnapshot("counter", "mine", PATH, BODY, generated, tokens, tokens, 30_000, events);
    }

    @Test
    void relaysStreamFromItsHolder() throws IOException, InterruptedException {
        AtomicReference<HolderLookup.Holder> holder = new AtomicReference<>();
        HolderLookup lookup = (_team, _name, callback) -> callback.accept(Optional.ofNullable(holder.get()));
        try (ListenerFixture old = new ListenerFixture(STALLS_AFTER_TWO_TOKENS);
                ListenerFixture receiver = new ListenerFixture(REMAINING_TOKENS);
                ListenerFixture third = new ListenerFixture(lookup, REMAINING_TOKENS)) {
            handOver(old, receiver);
            holder.set(new HolderLookup.Holder("127.0.0.1", receiver.listener().port()));

            assertRemainingEvents(third.call("POST", PATH, ID + "Last-Event-ID: 2\r\n", BODY));
        }
    }

    @Test
    void neverRelaysInALoop() throws IOException {
        AtomicReference<HolderLookup.Holder> holder = new AtomicReference<>();
        HolderLookup lookup = (_team, _name, callback) -> callback.accept(Optional.ofNullable(holder.get()));
        try (ListenerFixture fixture = new ListenerFixture(lookup, REMAINING_TOKENS)) {
            holder.set(new HolderLookup.Holder("127.0.0.1", fixture.listener().port()));

            assertThat(
                    fixture.call("POST", PATH, ID + "Last-Event-ID: 2\r\n", BODY)
                            .status(),
                    is(409));
        }
    }

    @Test
    void resumesStreamThatNoProcessAccepts() throws IOException, InterruptedException {
        FakeServer.Script slow = (_request, connection) -> {
            connection.startStream();
            connection.token("t0 ");
            Thread.sleep(500);
            for (int i = 1; i < 6; i++) {
                connection.token("t" + i + " ");
            }
            connection.endStream();
        };
        try (ListenerFixture fixture = new ListenerFixture(slow);
                Caller caller = new Caller(fixture.listener().port())) {
            caller.send("POST", PATH, ID, BODY);
            caller.readUntil("t0");
            for (LiveStreams.Stream stream : fixture.listener().liveStreams().all()) {
                stream.suspend(_snapshot -> {});
                Thread.sleep(700);
                stream.resume();
            }
            String rest = caller.readUntil("[DONE]");

            assertThat(rest, containsString("t1"));
            assertThat(rest, containsString("t5"));
        }
    }

    /** Guards against a holder that is cut off, while its answer ends with its connection, as older versions send it. */
    @Test
    void streamOfAHolderThatIsCutOffLooksCut() throws IOException {
        FakeServer.Script cut = (_request, connection) -> {
            connection.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
                    + "id: 3\ndata: {\"choices\":[{\"delta\":{\"content\":\"t2 \"}}]}\n\n");
            connection.abort();
        };
        try (FakeServer holder = FakeServer.start(cut);
                ListenerFixture third = new ListenerFixture(
                        (_team, _name, callback) ->
                                callback.accept(Optional.of(new HolderLookup.Holder("127.0.0.1", holder.port()))),
                        REMAINING_TOKENS)) {
            Caller.Answer answer = third.call("POST", PATH, ID + "Last-Event-ID: 2\r\n", BODY);

            assertThat(answer.body(), containsString("id: 3"));
            assertThat(answer.complete(), is(false));
        }
    }

    /** Guards against the end of an answer's connection that carries another answer by then. */
    @Test
    void sendsAnEndedStreamTwiceOnOneConnection() throws IOException, InterruptedException {
        try (ListenerFixture receiver = new ListenerFixture(REMAINING_TOKENS);
                Caller caller = new Caller(receiver.listener().port())) {
            HeldStreams held = receiver.listener().heldStreams();
            held.takeOver(snapshot("t0 t1 ", 2), new RequestId("taken-1"));
            Eventually.await("the receiving process holds the stream", () -> held.holds("counter", "mine"));
            for (int i = 0; i < 2; i++) {
                caller.send("POST", PATH, ID + "Last-Event-ID: 2\r\n", BODY);
                assertRemainingEvents(caller.read("POST"));
            }
        }
    }

    /** Guards against events that a handover takes from a slow caller, and that the next process no longer has. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1", "HTTP/1.0"})
    void slowCallerGoesOnAfterAHandover(String protocol) throws IOException, InterruptedException {
        AtomicBoolean sent = new AtomicBoolean();
        FakeServer.Script manyTokens = (_request, connection) -> {
            connection.startStream();
            for (int i = 0; i < 100; i++) {
                connection.token("x".repeat(1_000));
            }
            sent.set(true);
            connection.stallUntilClosed();
        };
        String body = BODY.replace(":6", ":1000");
        try (ListenerFixture old = new ListenerFixture(manyTokens);
                ListenerFixture receiver = new ListenerFixture(STALLS_AFTER_TWO_TOKENS);
                Caller slow = new Caller(old.listener().port(), 4_096)) {
            slow.write("POST " + PATH + ' ' + protocol + "\r\nHost: x\r\nAuthorization: Bearer " + Configurations.TOKEN
                    + "\r\n" + ID + "Content-Length: " + body.length() + "\r\n\r\n" + body);
            Eventually.await("the server has sent its events", sent::get);
            Thread.sleep(300);
            for (LiveStreams.Stream stream : old.listener().liveStreams().all()) {
                stream.suspend(snapshot -> {
                    receiver.listener().heldStreams().takeOver(snapshot.orElseThrow(), new RequestId("taken-1"));
                    stream.onHandedOver();
                });
            }
            Eventually.await(
                    "the receiving process holds the stream",
                    () -> receiver.listener().heldStreams().holds("counter", "mine"));
            Thread.sleep(300);
            String part = slow.read("POST").body();
            int last = part.split("\n\n", -1).length - 1;
            try (Caller caller = new Caller(receiver.listener().port())) {
                caller.send("POST", PATH, ID + "Last-Event-ID: " + last + "\r\n", body);

                assertThat("after event " + last, caller.readUntil("\r\n"), containsString("200"));
                caller.readUntil("id: 102");
            }
        }
    }

    // Returns the text that the caller read before its connection was closed.
    private static String handOver(ListenerFixture old, ListenerFixture receiver)
            throws IOException, InterruptedException {
        try (Caller caller = new Caller(old.listener().port())) {
            caller.send("POST", PATH, ID, BODY);
            caller.readUntil("t1");
            for (LiveStreams.Stream stream : old.listener().liveStreams().all()) {
                stream.suspend(snapshot -> {
                    receiver.listener().heldStreams().takeOver(snapshot.orElseThrow(), new RequestId("taken-1"));
                    stream.onHandedOver();
                });
            }
            Eventually.await(
                    "the receiving process holds the stream",
                    () -> receiver.listener().heldStreams().holds("counter", "mine"));
            StringBuilder readText = new StringBuilder();
            try {
                readText.append(caller.readUntil("[DONE]"));
            } catch (IOException _e) {
                // The connection is closed before the end of the stream.
            }
            return readText.toString();
        }
    }

    private static void assertRemainingEvents(Caller.Answer rest) {
        assertThat(rest.status(), is(200));
        assertThat(rest.header("x-request-id"), is("mine"));
        assertThat(rest.body(), not(containsString("t1 ")));
        for (int i = 2; i < 6; i++) {
            assertThat(
                    rest.body(),
                    containsString("id: " + (i + 1) + "\ndata: {\"choices\":[{\"delta\":{\"content\":\"t" + i));
        }
        assertThat(rest.body(), containsString("id: 7\ndata: [DONE]"));
        assertThat(rest.complete(), is(true));
    }

    private static int generatedTokens(FakeServer.Request request) throws JsonProcessingException {
        JsonNode messages = Json.LENIENT.readTree(request.body()).path("messages");
        return messages.path(messages.size() - 1)
                .path("content")
                .asText()
                .trim()
                .split(" ", -1)
                .length;
    }
}
