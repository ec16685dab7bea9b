package org.geraniumstand.proofs.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Checks that a request whose body arrives after its head receives a complete answer. */
final class LateBodyProofTest {
    private static final long BODY_DELAY_MILLIS = 200;

    @Test
    void requestWithDelayedBodyIsAnswered() throws IOException {
        try (Cluster cluster = Cluster.start(1);
                Socket socket = new Socket(
                        InetAddress.getLoopbackAddress(),
                        cluster.hosts().get(0).address().callerPort())) {
            String body = "{\"order\":\"late\"}";
            String head = String.join(
                    "\r\n",
                    "POST /orders HTTP/1.1",
                    "Host: 127.0.0.1",
                    "Connection: close",
                    "Authorization: Bearer " + TestConfigurations.COUNTER_TOKEN,
                    "Content-Type: application/json",
                    "Content-Length: " + body.length(),
                    "",
                    "");
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            out.flush();
            Conditions.pause(BODY_DELAY_MILLIS);
            out.write(body.getBytes(StandardCharsets.US_ASCII));
            out.flush();
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(answer, containsString("\"number\""));
        }
    }
}
