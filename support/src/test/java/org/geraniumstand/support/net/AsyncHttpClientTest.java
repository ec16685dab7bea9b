package org.geraniumstand.support.net;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.geraniumstand.model.result.Result;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class AsyncHttpClientTest {
    private static final int PART_BYTES = 64 * 1024;
    private static final long MAX_WRITTEN_BYTES = 256L * 1024 * 1024;

    /** The limit of a document plus the socket buffers of the loopback interface. */
    private static final long MAX_READ_BYTES = 32L * 1024 * 1024;

    private static final long TIMEOUT_MILLIS = 20_000;

    private static void writeEndlessly(ServerSocket listener, String start, AtomicLong written) {
        try (Socket socket = listener.accept()) {
            OutputStream out = socket.getOutputStream();
            out.write(start.getBytes(StandardCharsets.US_ASCII));
            byte[] part = "x".repeat(PART_BYTES).getBytes(StandardCharsets.US_ASCII);
            while (written.get() < MAX_WRITTEN_BYTES) {
                out.write(part);
                written.addAndGet(part.length);
            }
        } catch (IOException _e) {
            // The client closed the connection, as it should.
            written.addAndGet(0);
        }
    }

    /** The platform's store or cloud sends a head or a document that never ends. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nname: "})
    void abortsAnswerWithoutEnd(String start) throws Exception {
        AtomicLong written = new AtomicLong();
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                AsyncHttpClient client = AsyncHttpClient.start("test")) {
            Thread server = new Thread(() -> writeEndlessly(listener, start, written), "server");
            server.setDaemon(true);
            server.start();
            CompletableFuture<Result<FullHttpResponse, HttpFailure>> answer = new CompletableFuture<>();
            URI origin = URI.create("http://127.0.0.1:" + listener.getLocalPort());
            client.send(HttpRequest.get(origin, "/", TIMEOUT_MILLIS), answer::complete);

            HttpFailure failure =
                    answer.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).fold(_response -> null, reason -> reason);
            assertThat(failure, is(HttpFailure.BROKEN));
            assertThat(written.get(), lessThan(MAX_READ_BYTES));
        }
    }

    /** Guards against a document that is cut short by the first of two lengths. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.1 2000 OK\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.1 103 Early Hints\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.1 0200 OK\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.1 200 OK\r\nX Note: a\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.1 200 OK\r\nX-Note : a\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.1 200 OK\r\nX-\0Note: a\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.1 200 OK\r\nX-No\rte: a\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.1 200 OK\r\n\tX-Note: a\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.1 503 Busy\r\nX-Note\u007f: a\r\nContent-Length: 4\r\n\r\nbody"
            })
    void rejectsWhatIsNoAnswerOfHttp(String text) throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                AsyncHttpClient client = AsyncHttpClient.start("test")) {
            CompletableFuture<Result<FullHttpResponse, HttpFailure>> answer = new CompletableFuture<>();
            URI origin = URI.create("http://127.0.0.1:" + listener.getLocalPort());
            client.send(HttpRequest.get(origin, "/", TIMEOUT_MILLIS), answer::complete);
            try (Socket socket = listener.accept()) {
                socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
                HttpFailure failure =
                        answer.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).fold(_response -> null, reason -> reason);
                assertThat(failure, is(HttpFailure.BROKEN));
            }
        }
    }

    /** Opening a connection to an origin without a host threw, and the caller learned it only at the timeout. */
    @ParameterizedTest
    @ValueSource(strings = {"http://fe80::1:8308", "http://127.0.0.1:70000", "ftp://127.0.0.1:80"})
    void reportsAtOnceThatAnOriginCannotBeConnectedTo(String origin) throws Exception {
        try (AsyncHttpClient client = AsyncHttpClient.start("test")) {
            CompletableFuture<Result<FullHttpResponse, HttpFailure>> answer = new CompletableFuture<>();
            client.send(HttpRequest.get(URI.create(origin), "/", TIMEOUT_MILLIS), answer::complete);

            HttpFailure failure =
                    answer.get(TIMEOUT_MILLIS / 2, TimeUnit.MILLISECONDS).fold(_response -> null, reason -> reason);
            assertThat(failure, is(HttpFailure.NOT_CONNECTED));
        }
    }
}
