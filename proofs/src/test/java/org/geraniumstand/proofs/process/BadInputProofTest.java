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

/** Bad input at each listener: the process stays up, its memory stays bounded, and the log says what was wrong. */
final class BadInputProofTest {
    private static final long SEED = 1_001;
    private static final int CONNECTIONS = 60;
    private static final int BYTES = 64 * 1024;
    private static final long LIMIT_KILOBYTES = 256 * 1024;

    private final Random random = new Random(SEED);

    @Test
    void processSurvivesBadInputAtEachListener() {
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
            callersInput(host);
            operatorsInput(host);
            List<RequestResult> told = Traffic.start(cluster.caller(host), Traffic.MIXED, SEED, 40, 40)
                    .finish();
            assertThat(cluster.logs(), Traffic.notAnswered(told), is(empty()));
            assertThat(host.alive(), is(true));
            assertThat(host.residentKilobytes(), is(lessThan(LIMIT_KILOBYTES)));
            assertThat(host.log(), containsString("event=peer-refused"));
        }
    }

    @Test
    void peerWithWrongKeyIsRefused() {
        try (Cluster cluster = Cluster.start(1);
                Cluster stranger = Cluster.startStranger(cluster)) {
            EntryHost host = cluster.hosts().get(0);
            Conditions.await(
                    "the log names the refused peer\n" + host.log(),
                    () -> host.log().contains("event=peer-refused"));
            assertThat(host.ready(), is(true));
            assertThat(stranger.hosts().get(0).alive(), is(true));
        }
    }

    private static void callersInput(EntryHost host) {
        int port = host.address().callerPort();
        String[] team = {"Authorization", "Bearer " + Documents.COUNTER_TOKEN};
        assertThat(
                Http.send(port, "POST", "/v1/chat/completions", "{\"messages\":", team)
                        .status(),
                is(400));
        assertThat(Http.send(port, "POST", "/v1/chat/completions", "{}").status(), is(401));
        assertThat(Http.send(port, "POST", "/no-such-route", "{}", team).status(), is(404));
        assertThat(
                Http.send(port, "POST", "/orders", "x".repeat(80 * 1024), team).status(), anyOf(is(413), is(0)));
        String[] badTimeout = {team[0], team[1], "Request-Timeout", "soon"};
        // The listener may have closed the connection after the body above, so the call is made again if it broke.
        Http.Answer answer = Http.send(port, "POST", "/orders", "{}", badTimeout);
        Http.Answer last = answer.status() == 0 ? Http.send(port, "POST", "/orders", "{}", badTimeout) : answer;
        assertThat(last.toString(), last.status(), is(400));
    }

    private static void operatorsInput(EntryHost host) {
        int port = host.address().operatorPort();
        for (String path : List.of("/v1/configuration", "/v1/status", "/v1/timeline", "/nothing")) {
            assertThat(path, Http.send(port, "PUT", path, "x").status(), is(greaterThanOrEqualTo(400)));
            String[] wrong = {"Authorization", "Bearer wrong"};
            assertThat(path, Http.send(port, "PUT", path, "x", wrong).status(), is(greaterThanOrEqualTo(400)));
        }
    }

    private byte[] randomBytes() {
        byte[] bytes = new byte[1 + random.nextInt(BYTES)];
        random.nextBytes(bytes);
        return bytes;
    }

    private static byte[] overLongFrame() {
        return ByteBuffer.allocate(64).putInt(Integer.MAX_VALUE).array();
    }

    private static byte[] overLongHead() {
        return ("GET /" + "a".repeat(2 * 1024 * 1024) + " HTTP/1.1\r\n").getBytes(StandardCharsets.US_ASCII);
    }

    /** Sends bytes and returns how many came back, or -1 if the listener refused at some byte. */
    private static int send(int port, byte[] bytes) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(20);
            socket.getOutputStream().write(bytes);
            return socket.getInputStream().read(new byte[BYTES]);
        } catch (IOException _e) {
            return -1;
        }
    }
}
