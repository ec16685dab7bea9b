package org.geraniumstand.proofs.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.geraniumstand.standins.load.RequestResult;
import org.junit.jupiter.api.Test;

/** Checks that invalid input at a listener is logged, does not end the process and does not exhaust its memory. */
final class BadInputProofTest {
    private static final long SEED = 1_001;
    private static final int CONNECTIONS = 60;
    private static final int BUFFER_BYTES = 64 * 1024;
    private static final long MAX_RESIDENT_KILOBYTES = 256 * 1024;

    private final Random random = new Random(SEED);

    @Test
    void processSurvivesInvalidInputAtEachListener() {
        try (Cluster cluster = Cluster.start(2)) {
            EntryHost host = cluster.hosts().get(0);
            for (int i = 0; i < CONNECTIONS; i++) {
                send(host.address().peerPort(), randomBytes());
                send(host.address().peerPort(), overLongFrame());
                send(host.address().callerPort(), randomBytes());
                send(host.address().operatorPort(), randomBytes());
                send(host.address().callerPort(), overLongHead());
                send(host.address().operatorPort(), overLongHead());
            }
            sendBadCallerInput(host);
            sendBadOperatorInput(host);
            List<RequestResult> results = Traffic.start(cluster.caller(host), Traffic.MIXED, SEED, 40, 40)
                    .finish();
            assertThat(cluster.logs(), Traffic.unanswered(results), is(empty()));
            assertThat(host.alive(), is(true));
            assertThat(host.residentKilobytes(), is(lessThan(MAX_RESIDENT_KILOBYTES)));
            assertThat(host.log(), containsString("event=peer-refused"));
        }
    }

    @Test
    void peerWithWrongKeyIsRefused() {
        try (Cluster cluster = Cluster.start(1);
                Cluster otherKeyCluster = Cluster.startWithOtherKey(cluster)) {
            EntryHost host = cluster.hosts().get(0);
            Conditions.await(
                    "the log contains the event of the refused peer\n" + host.log(),
                    () -> host.log().contains("event=peer-refused"));
            assertThat(host.ready(), is(true));
            assertThat(otherKeyCluster.hosts().get(0).alive(), is(true));
        }
    }

    private static void sendBadCallerInput(EntryHost host) {
        int port = host.address().callerPort();
        String[] teamHeader = {"Authorization", "Bearer " + TestConfigurations.COUNTER_TOKEN};
        assertThat(
                Http.send(port, "POST", "/v1/chat/completions", "{\"messages\":", teamHeader)
                        .status(),
                is(400));
        assertThat(Http.send(port, "POST", "/v1/chat/completions", "{}").status(), is(401));
        assertThat(Http.send(port, "POST", "/no-such-route", "{}", teamHeader).status(), is(404));
        assertThat(
                Http.send(port, "POST", "/orders", "x".repeat(80 * 1024), teamHeader)
                        .status(),
                anyOf(is(413), is(0)));
        String[] badTimeout = {teamHeader[0], teamHeader[1], "Request-Timeout", "soon"};
        // The listener may have closed the connection after the oversized body above, so a broken call is retried once.
        Http.Answer answer = Http.send(port, "POST", "/orders", "{}", badTimeout);
        Http.Answer finalAnswer = answer.status() == 0 ? Http.send(port, "POST", "/orders", "{}", badTimeout) : answer;
        assertThat(finalAnswer.toString(), finalAnswer.status(), is(400));
    }

    private static void sendBadOperatorInput(EntryHost host) {
        int port = host.address().operatorPort();
        for (String path : List.of("/v1/configuration", "/v1/status", "/v1/timeline", "/nothing")) {
            assertThat(path, Http.send(port, "PUT", path, "x").status(), is(greaterThanOrEqualTo(400)));
            String[] wrong = {"Authorization", "Bearer wrong"};
            assertThat(path, Http.send(port, "PUT", path, "x", wrong).status(), is(greaterThanOrEqualTo(400)));
        }
    }

    private byte[] randomBytes() {
        byte[] bytes = new byte[1 + random.nextInt(BUFFER_BYTES)];
        random.nextBytes(bytes);
        return bytes;
    }

    private static byte[] overLongFrame() {
        return ByteBuffer.allocate(64).putInt(Integer.MAX_VALUE).array();
    }

    private static byte[] overLongHead() {
        return ("GET /" + "a".repeat(2 * 1024 * 1024) + " HTTP/1.1\r\n").getBytes(StandardCharsets.US_ASCII);
    }

    /** Sends bytes and returns the number of bytes received, or -1 if the listener closed or reset the connection. */
    private static int send(int port, byte[] bytes) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(20);
            socket.getOutputStream().write(bytes);
            return socket.getInputStream().read(new byte[BUFFER_BYTES]);
        } catch (IOException _e) {
            return -1;
        }
    }
}
