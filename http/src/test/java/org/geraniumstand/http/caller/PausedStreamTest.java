package org.geraniumstand.http.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.geraniumstand.http.fake.Caller;
import org.geraniumstand.http.fake.Configurations;
import org.geraniumstand.http.fake.Eventually;
import org.geraniumstand.http.fake.FakeServer;
import org.geraniumstand.http.fake.ListenerFixture;
import org.geraniumstand.model.id.RequestId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests streams whose engine was paused because their caller took nothing. */
@Timeout(60)
final class PausedStreamTest {
    private static final String PATH = "/v1/chat/completions";
    private static final String ID = "X-Request-Id: mine\r\n";
    private static final String BODY =
            "{\"stream\":true,\"max_tokens\":5000,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
    private static final int TOKENS = 2_000;
    private static final long QUEUED_BYTES = 250 * 1024;
    private static final int SMALL_BUFFER = 4 * 1024;
    private static final long QUIET_MILLIS = 1_000;

    private static final FakeServer.Script LARGE = (_request, connection) -> {
        connection.startStream();
        for (int i = 0; i < TOKENS; i++) {
            connection.token("x".repeat(8_000));
        }
        connection.endStream();
    };

    private static Socket ask(ListenerFixture fixture, String headers) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(SMALL_BUFFER);
        socket.connect(new InetSocketAddress(
                InetAddress.getLoopbackAddress(), fixture.listener().port()));
        String request = "POST " + PATH + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + Configurations.TOKEN
                + "\r\n" + headers + "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY;
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private static HeldStream takeOver(ListenerFixture fixture) throws InterruptedException {
        fixture.core().setResponseTimeout(60_000);
        HeldStreams held = fixture.listener().heldStreams();
        List<String> events = List.of("{\"choices\":[{\"delta\":{\"content\":\"t0 \"}}]}");
        assertThat(
                held.takeOver(
                        new StreamSnapshot("counter", "mine", PATH, BODY, "t0 ", 1, 1, 60_000, events),
                        new RequestId("taken-1")),
                is(true));
        return held.find("counter", "mine").orElseThrow();
    }

    private static int positionAtRest(HeldStream stream) throws InterruptedException {
        int position = -1;
        while (position < 2 || stream.position() != position) {
            position = stream.position();
            Thread.sleep(QUIET_MILLIS);
        }
        return position;
    }

    private static void assertGoesOn(ListenerFixture fixture, int position) throws IOException {
        try (Caller caller = new Caller(fixture.listener().port())) {
            caller.send("POST", PATH, ID + "Last-Event-ID: " + position + "\r\n", BODY);

            assertThat(caller.readUntil("\n\n"), containsString("200 OK"));
            caller.readUntil("id: " + (position + 1) + "\n");
        }
    }

    @Test
    void heldStreamGoesOnWhenItsFirstCallerComes() throws Exception {
        try (ListenerFixture fixture = new ListenerFixture(LARGE)) {
            HeldStream stream = takeOver(fixture);

            assertGoesOn(fixture, positionAtRest(stream));
        }
    }

    @Test
    void heldStreamGoesOnAtTheNextCallerAfterOneThatTookNothing() throws Exception {
        try (ListenerFixture fixture = new ListenerFixture(LARGE)) {
            HeldStream stream = takeOver(fixture);
            int position;
            try (Socket unread = ask(fixture, ID + "Last-Event-ID: 1\r\n")) {
                Eventually.await(
                        "events wait for the caller", () -> fixture.listener().heldBytes() > QUEUED_BYTES);
                position = positionAtRest(stream);
                assertThat(unread.isConnected(), is(true));
            }
            Thread.sleep(QUIET_MILLIS);

            assertGoesOn(fixture, position);
        }
    }

    @Test
    void suspendedStreamSendsNothingBeyondItsSnapshot() throws Exception {
        try (ListenerFixture fixture = new ListenerFixture(LARGE);
                Socket slow = ask(fixture, ID)) {
            fixture.core().setResponseTimeout(60_000);
            Eventually.await(
                    "events wait for the caller", () -> fixture.listener().heldBytes() > QUEUED_BYTES);
            Thread.sleep(QUIET_MILLIS);
            AtomicInteger suspendedAt = new AtomicInteger(-1);
            for (LiveStreams.Stream stream : fixture.listener().liveStreams().all()) {
                stream.suspend(
                        snapshot -> suspendedAt.set(snapshot.orElseThrow().lastEventId()));
            }
            Eventually.await("the stream is suspended", () -> suspendedAt.get() > 0);

            assertThat(lastId(slow), is(lessThanOrEqualTo(suspendedAt.get())));
        }
    }

    /** Reads until nothing comes for a while, and returns the id of the last event. */
    private static int lastId(Socket socket) throws IOException {
        socket.setSoTimeout(3_000);
        InputStream in = socket.getInputStream();
        StringBuilder ids = new StringBuilder();
        byte[] part = new byte[64 * 1024];
        try {
            for (int count = in.read(part); count >= 0; count = in.read(part)) {
                ids.append(new String(part, 0, count, StandardCharsets.ISO_8859_1).replaceAll("x+", "x"));
            }
        } catch (IOException _e) {
            // Nothing came for a while.
        }
        String text = ids.toString();
        int start = text.lastIndexOf("id: ") + "id: ".length();
        return Integer.parseInt(text.substring(start, text.indexOf('\n', start)).trim());
    }
}
