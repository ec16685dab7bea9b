package org.geraniumstand.proofs.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Checks that a caller gets the rest of a stream at another process when the first one stops during the stream. */
@Timeout(120)
final class StreamHandoverTest {
    private static final int TOKEN_MILLIS = 100;
    private static final int MAX_TOKENS = 150;
    private static final int SOCKET_TIMEOUT_MILLIS = 30_000;

    @Test
    void streamResumesAtAnotherProcessWithoutMissingEvents() throws IOException {
        try (Cluster cluster = Cluster.start(3, TOKEN_MILLIS)) {
            List<Integer> ids = new ArrayList<>();
            StringBuilder text = new StringBuilder();
            EntryHost stopping = cluster.hosts().get(0);
            try (Socket socket = connect(stopping)) {
                send(socket, "");
                BufferedReader in = reader(socket);
                while (ids.size() < 5) {
                    parseLine(in.readLine(), ids, text);
                }
                stopping.terminate();
                for (String line = readLine(in); line != null; line = readLine(in)) {
                    parseLine(line, ids, text);
                }
            }
            assertThat(cluster.logs(), text.toString(), not(containsString("[DONE]")));
            try (Socket socket = connect(cluster.hosts().get(1))) {
                send(socket, "Last-Event-ID: " + ids.get(ids.size() - 1) + "\r\n");
                BufferedReader in = reader(socket);
                for (String line = in.readLine(); line != null && text.indexOf("[DONE]") < 0; line = in.readLine()) {
                    parseLine(line, ids, text);
                }
            }
            assertThat(cluster.logs(), text.toString(), containsString("[DONE]"));
            for (int i = 0; i < ids.size(); i++) {
                assertThat(ids.get(i), is(i + 1));
            }
            assertThat(stopping.awaitExit() >= 0, is(true));
            assertThat(stopping.log(), containsString("stream-handed-over"));
        }
    }

    private static Socket connect(EntryHost host) throws IOException {
        Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), host.address().callerPort());
        socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        return socket;
    }

    private static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
    }

    private static void send(Socket socket, String headers) throws IOException {
        String body = "{\"stream\":true,\"max_tokens\":" + MAX_TOKENS
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
        String request = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                + TestConfigurations.COUNTER_TOKEN + "\r\nX-Request-Id: long-stream\r\nRequest-Timeout: 60\r\n"
                + headers
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    private static void parseLine(String line, List<Integer> ids, StringBuilder text) {
        if (line.startsWith("id: ")) {
            ids.add(Integer.parseInt(line.substring("id: ".length())));
        } else if (line.startsWith("data: ")) {
            text.append(line).append('\n');
        }
    }

    // A closed connection can surface as an IOException instead of the end of the stream.
    private static String readLine(BufferedReader in) {
        try {
            return in.readLine();
        } catch (IOException _e) {
            return null;
        }
    }
}
