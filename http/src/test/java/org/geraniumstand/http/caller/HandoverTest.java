package org.geraniumstand.http.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.geraniumstand.http.fake.Caller;
import org.geraniumstand.http.fake.Eventually;
import org.geraniumstand.http.fake.FakeServer;
import org.geraniumstand.http.fake.Stand;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.support.json.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
final class HandoverTest {
    private static final String PATH = "/v1/chat/completions";
    private static final String ID = "X-Request-Id: mine\r\n";
    private static final String BODY =
            "{\"stream\":true,\"max_tokens\":6,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";

    private static final FakeServer.Script MUTE_AFTER_TWO = (_request, connection) -> {
        connection.startStream();
        connection.token("t0 ");
        connection.token("t1 ");
        connection.stayMute();
    };
    private static final FakeServer.Script REST = (request, connection) -> {
        int made = made(request);
        connection.startStream();
        for (int i = made; i < 6; i++) {
            connection.token("t" + i + " ");
        }
        connection.endStream();
    };

    @Test
    void givesRestOfStreamAtTheTaker() throws IOException, InterruptedException {
        try (Stand old = new Stand(MUTE_AFTER_TWO);
                Stand taker = new Stand(REST)) {
            String first = handOver(old, taker);
            Caller.Answer rest = taker.call("POST", PATH, ID + "Last-Event-ID: 2\r\n", BODY);

            assertThat(first, not(containsString("[DONE]")));
            assertRest(rest);
            Eventually.await("the old attempt is closed", () -> old.server(0).gone() == 1);
        }
    }

    @Test
    void repeatsEventsThatTheCallerLost() throws IOException, InterruptedException {
        try (Stand old = new Stand(MUTE_AFTER_TWO);
                Stand taker = new Stand(REST)) {
            handOver(old, taker);
            Caller.Answer rest = taker.call("POST", PATH, ID + "Last-Event-ID: 1\r\n", BODY);

            assertThat(rest.body(), containsString("id: 2\ndata: {\"choices\":[{\"delta\":{\"content\":\"t1 \"}}]}"));
            assertThat(rest.body(), containsString("[DONE]"));
        }
    }

    @Test
    void relaysFromTheHolder() throws IOException, InterruptedException {
        AtomicReference<HolderLookup.Holder> holder = new AtomicReference<>();
        HolderLookup lookup = (_team, _name, callback) -> callback.accept(Optional.ofNullable(holder.get()));
        try (Stand old = new Stand(MUTE_AFTER_TWO);
                Stand taker = new Stand(REST);
                Stand third = new Stand(lookup, REST)) {
            handOver(old, taker);
            holder.set(new HolderLookup.Holder("127.0.0.1", taker.listener().port()));

            assertRest(third.call("POST", PATH, ID + "Last-Event-ID: 2\r\n", BODY));
        }
    }

    @Test
    void neverRelaysInCircles() throws IOException {
        AtomicReference<HolderLookup.Holder> holder = new AtomicReference<>();
        HolderLookup lookup = (_team, _name, callback) -> callback.accept(Optional.ofNullable(holder.get()));
        try (Stand stand = new Stand(lookup, REST)) {
            holder.set(new HolderLookup.Holder("127.0.0.1", stand.listener().port()));

            assertThat(
                    stand.call("POST", PATH, ID + "Last-Event-ID: 2\r\n", BODY).status(), is(409));
        }
    }

    @Test
    void goesOnWhenNobodyTakesTheStream() throws IOException, InterruptedException {
        FakeServer.Script slow = (_request, connection) -> {
            connection.startStream();
            connection.token("t0 ");
            Thread.sleep(500);
            for (int i = 1; i < 6; i++) {
                connection.token("t" + i + " ");
            }
            connection.endStream();
        };
        try (Stand stand = new Stand(slow);
                Caller caller = new Caller(stand.listener().port())) {
            caller.send("POST", PATH, ID, BODY);
            caller.readUntil("t0");
            for (LiveStreams.Stream stream : stand.listener().streams().all()) {
                stream.freeze(_snapshot -> {});
                Thread.sleep(700);
                stream.thaw();
            }
            String rest = caller.readUntil("[DONE]");

            assertThat(rest, containsString("t1"));
            assertThat(rest, containsString("t5"));
        }
    }

    // Returns what the caller read before its connection ended.
    private static String handOver(Stand old, Stand taker) throws IOException, InterruptedException {
        try (Caller caller = new Caller(old.listener().port())) {
            caller.send("POST", PATH, ID, BODY);
            caller.readUntil("t1");
            for (LiveStreams.Stream stream : old.listener().streams().all()) {
                stream.freeze(snapshot -> {
                    taker.listener().held().take(snapshot.orElseThrow(), new RequestId("taken-1"));
                    stream.handedOver();
                });
            }
            Eventually.await(
                    "the taker holds the stream", () -> taker.listener().held().holds("counter", "mine"));
            StringBuilder left = new StringBuilder();
            try {
                left.append(caller.readUntil("[DONE]"));
            } catch (IOException _e) {
                // The connection ends without the end of the stream.
            }
            return left.toString();
        }
    }

    private static void assertRest(Caller.Answer rest) {
        assertThat(rest.status(), is(200));
        assertThat(rest.header("x-request-id"), is("mine"));
        assertThat(rest.body(), not(containsString("t1 ")));
        for (int i = 2; i < 6; i++) {
            assertThat(
                    rest.body(),
                    containsString("id: " + (i + 1) + "\ndata: {\"choices\":[{\"delta\":{\"content\":\"t" + i));
        }
        assertThat(rest.body(), containsString("id: 7\ndata: [DONE]"));
        assertThat(rest.whole(), is(true));
    }

    private static int made(FakeServer.Request request) throws JsonProcessingException {
        JsonNode messages = Json.LENIENT.readTree(request.body()).path("messages");
        return messages.path(messages.size() - 1)
                .path("content")
                .asText()
                .trim()
                .split(" ", -1)
                .length;
    }
}
