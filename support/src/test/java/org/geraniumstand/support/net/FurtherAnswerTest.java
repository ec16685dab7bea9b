package org.geraniumstand.support.net;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.IoUtils;

/** Tests that a connection can have a further answer to a request, and that nothing is sent for it. */
final class FurtherAnswerTest {
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final long PACKET_PAUSE_MILLIS = 3;

    private ConnectionFixture fixture;
    private ServerConnection connection;
    private Socket server;

    @BeforeEach
    void open() throws Exception {
        fixture = new ConnectionFixture();
        connection = fixture.open();
        server = fixture.accept();
    }

    @AfterEach
    void close() throws IOException {
        server.close();
        fixture.close();
    }

    private static String unescape(String text) {
        return text.replace("\\r", "\r").replace("\\n", "\n");
    }

    /** Returns the bytes of a request as the client writes them. */
    private static String request(String method, String path) {
        return method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
    }

    private void write(String text) throws IOException {
        server.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        server.getOutputStream().flush();
    }

    private String read(int length) throws IOException {
        return new String(server.getInputStream().readNBytes(length), StandardCharsets.US_ASCII);
    }

    /** Sends a request, and returns the body of its second answer after the first was read to its end. */
    private CompletableFuture<String> sendAndSkipOneAnswer(String method, String path)
            throws IOException, ExecutionException, InterruptedException, TimeoutException {
        CompletableFuture<String> result = new CompletableFuture<>();
        Consumer<IOException> onFailed = result::completeExceptionally;
        send(
                method,
                path,
                first -> readBody(
                        first,
                        _body -> connection.awaitFurtherAnswer(
                                HttpString.tryFromString(method),
                                second -> readBody(second, result::complete, onFailed),
                                onFailed),
                        onFailed),
                onFailed);
        return result;
    }

    private CompletableFuture<String> send(String method, String path)
            throws IOException, ExecutionException, InterruptedException, TimeoutException {
        CompletableFuture<String> result = new CompletableFuture<>();
        send(
                method,
                path,
                exchange -> readBody(exchange, result::complete, result::completeExceptionally),
                result::completeExceptionally);
        return result;
    }

    private void send(String method, String path, Consumer<ClientExchange> onHead, Consumer<IOException> onFailed)
            throws IOException, ExecutionException, InterruptedException, TimeoutException {
        fixture.onThread(() -> {
            ClientRequest request = new ClientRequest()
                    .setMethod(HttpString.tryFromString(method))
                    .setPath(path);
            request.getRequestHeaders().put(Headers.HOST, "x");
            connection.sendRequest(
                    request, exchange -> exchange.setResponseListener(Callbacks.of(onHead, onFailed)), onFailed);
            return request;
        });
        assertThat(read(request(method, path).length()), is(request(method, path)));
    }

    private void readBody(ClientExchange exchange, Consumer<String> onBody, Consumer<IOException> onFailed) {
        StringBuilder body = new StringBuilder();
        new ChannelReader(exchange.getResponseChannel(), fixture.buffers(), new ChannelReader.Listener() {
                    @Override
                    public void onPart(ByteBuffer part) {
                        body.append(StandardCharsets.US_ASCII.decode(part));
                    }

                    @Override
                    public void onEnd() {
                        onBody.accept(body.toString());
                    }

                    @Override
                    public void onFailure(IOException reason) {
                        onFailed.accept(reason);
                    }
                })
                .start();
    }

    private static String get(CompletableFuture<String> result)
            throws ExecutionException, InterruptedException, TimeoutException {
        return result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Asserts that the next request is the next that the server receives and that the connection carries nothing else. */
    private void assertNothingElseWasSent()
            throws IOException, ExecutionException, InterruptedException, TimeoutException {
        CompletableFuture<String> next = send("GET", "/next");
        write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext");
        assertThat(get(next), is("next"));
        fixture.onThread(() -> {
            IoUtils.safeClose(connection.client());
            return connection;
        });
        assertThat(server.getInputStream().read(), is(-1));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 Full\\r\\nContent-Length: 0\\r\\n\\r\\n",
                "HTTP/1.1 503 Full\\r\\nContent-Length: 4\\r\\n\\r\\nfull",
                "HTTP/1.1 503 Full\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n0\\r\\n\\r\\n",
                "HTTP/1.1 503 Full\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n2\\r\\nfu\\r\\n2\\r\\nll\\r\\n0\\r\\n\\r\\n",
                "HTTP/1.1 204 None\\r\\n\\r\\n"
            })
    void readsTheFurtherAnswerWhereverTheBytesAreCut(String escaped) throws Exception {
        String first = unescape(escaped);
        String both = first + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade";
        for (int cut = 0; cut <= both.length(); cut++) {
            CompletableFuture<String> answer = sendAndSkipOneAnswer("GET", "/order");
            write(both.substring(0, cut));
            Thread.sleep(PACKET_PAUSE_MILLIS);
            write(both.substring(cut));

            assertThat("cut after " + cut + " bytes", get(answer), is("made"));
        }
        assertNothingElseWasSent();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 4\\r\\n\\r\\nmade",
                "Transfer-Encoding: chunked\\r\\n\\r\\n2\\r\\nma\\r\\n2\\r\\nde\\r\\n0\\r\\n\\r\\n"
            })
    void readsFurtherAnswersOfAnyFraming(String escaped) throws Exception {
        String both = "HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n"
                + unescape(escaped);
        for (int cut = 0; cut <= both.length(); cut++) {
            CompletableFuture<String> answer = sendAndSkipOneAnswer("POST", "/order");
            write(both.substring(0, cut));
            Thread.sleep(PACKET_PAUSE_MILLIS);
            write(both.substring(cut));

            assertThat("cut after " + cut + " bytes", get(answer), is("made"));
        }
        assertNothingElseWasSent();
    }

    @Test
    void readsTheFurtherAnswerToAHeadRequestWithoutABody() throws Exception {
        for (int i = 0; i < 5; i++) {
            CompletableFuture<String> answer = sendAndSkipOneAnswer("HEAD", "/order");
            write("HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n");

            assertThat(get(answer), is(""));
        }
        assertNothingElseWasSent();
    }

    @Test
    void sendsNothingWhileItWaits() throws Exception {
        CompletableFuture<String> answer = sendAndSkipOneAnswer("GET", "/order");
        write("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
        Thread.sleep(50);
        assertThat(server.getInputStream().available(), is(0));
        write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade");

        assertThat(get(answer), is("made"));
        assertNothingElseWasSent();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 Full\\r\\nConnection: close\\r\\nContent-Length: 0\\r\\n\\r\\n",
                "HTTP/1.0 503 Full\\r\\nContent-Length: 0\\r\\n\\r\\n"
            })
    void failsIfTheFirstAnswerEndsTheConnection(String escaped) throws Exception {
        CompletableFuture<String> answer = sendAndSkipOneAnswer("GET", "/order");
        write(unescape(escaped));

        Assertions.assertThrows(ExecutionException.class, () -> get(answer));
        assertThat(server.getInputStream().read(), is(-1));
    }

    @Test
    void failsIfTheConnectionEndsWhileItWaits() throws Exception {
        CompletableFuture<String> answer = sendAndSkipOneAnswer("GET", "/order");
        write("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
        Thread.sleep(PACKET_PAUSE_MILLIS);
        server.shutdownOutput();

        Assertions.assertThrows(ExecutionException.class, () -> get(answer));
        assertThat(server.getInputStream().read(), is(-1));
    }

    /** Guards against a request that the client keeps until the one before it is complete, and then sends. */
    @Test
    void failsWhileTheRequestIsNotAnswered() throws Exception {
        CompletableFuture<String> answer = send("GET", "/order");
        IOException reason = fixture.onThread(() -> {
            CompletableFuture<IOException> failure = new CompletableFuture<>();
            connection.awaitFurtherAnswer(HttpString.tryFromString("GET"), _exchange -> {}, failure::complete);
            Connections.closeNow(connection.client());
            return failure.getNow(null);
        });

        assertThat(reason.getMessage(), is("the connection cannot have a further answer"));
        assertThat(server.getInputStream().read(), is(-1));
        Assertions.assertThrows(ExecutionException.class, () -> get(answer));
    }
}
