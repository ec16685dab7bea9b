package org.geraniumstand.http.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.http.fake.Caller;
import org.geraniumstand.http.fake.FramedBody;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.support.net.HttpBody;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Sends heads with many lines through the HTTP library, with buffers of several sizes. */
@Timeout(60)
final class ManyHeaderLinesTest {
    private static final int REQUESTS = 40;
    private static final int BODY_TIMEOUT_MILLIS = 5_000;
    private static final String START = "POST /a HTTP/1.1\r\nHost: x\r\n";
    private static final String NONE = "Content-Length: 0\r\n\r\n";

    private final LinkedBlockingQueue<String> requests = new LinkedBlockingQueue<>();
    private XnioWorker worker;
    private CallerGate gate;

    @AfterEach
    void stop() {
        gate.close();
        worker.shutdownNow();
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 1_000, 4_096, 16_384})
    void takesManyLinesOfOneName(int bufferBytes) throws Exception {
        start(bufferBytes);
        try (Caller caller = new Caller(gate.port())) {
            caller.write(START + "a: 1\r\n".repeat(2_000) + NONE);

            assertThat(caller.read("POST").status(), is(200));
            assertThat(requests.poll(5, TimeUnit.SECONDS), is("1,".repeat(2_000) + "|"));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void requestsSentAheadStayWhole(int seed) throws Exception {
        Random random = new Random(seed);
        start(List.of(200, 1_000, 4_096, 16_384).get(random.nextInt(4)));
        StringBuilder sent = new StringBuilder();
        List<String> expected = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            int lines = random.nextInt(3) == 0 ? random.nextInt(1_500) : random.nextInt(60);
            // Looks like the lines of a head, so that a change would show.
            String body = i + "\r\n\r\nGET / HTTP/1.1\r\n" + "a: x\r\n".repeat(random.nextInt(400));
            sent.append(START).append(("a: " + i + "\r\n").repeat(lines));
            sent.append(FramedBody.of(body, random));
            expected.add((i + ",").repeat(lines) + "|" + body);
        }
        try (Caller caller = new Caller(gate.port())) {
            Thread writer = new Thread(() -> write(caller, sent.toString(), random));
            writer.setDaemon(true);
            writer.start();
            for (int i = 0; i < REQUESTS; i++) {
                assertThat("answer " + i, caller.read("POST").status(), is(200));
                assertThat("request " + i, requests.poll(5, TimeUnit.SECONDS), is(expected.get(i)));
            }
        }
    }

    @Test
    void nextRequestIsServedThoughNoMoreBytesArrive() throws Exception {
        start(1_000);
        String body = "x".repeat(200);
        String next = "GET /b HTTP/1.1\r\nHost: x\r\n\r\n";
        // The second request begins at other places of the buffers each time.
        for (int lines = 1_000; lines < 1_100; lines++) {
            try (Caller caller = new Caller(gate.port())) {
                caller.write(START + "a:\r\n".repeat(lines) + "Content-Length: 200\r\n\r\n" + body + next);

                assertThat(caller.read("POST").status(), is(200));
                assertThat(lines + " lines", caller.read("GET").status(), is(200));
                assertThat(requests.poll(5, TimeUnit.SECONDS), is(",".repeat(lines) + "|" + body));
                assertThat(requests.poll(5, TimeUnit.SECONDS), is("|"));
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"a: 1\n", "no colon\r\n", ": 1\r\n", "a: \0\r\n", " folded\r\n", "a : 1\r\n"})
    void unclearLineLeadsToTheSameWithManyLines(String line) throws Exception {
        start(4_096);
        String few = outcome(START + "b:\r\n".repeat(5) + line + NONE);
        String many = outcome(START + "b:\r\n".repeat(110) + line + NONE);

        assertThat(many, is(few));
    }

    @Test
    void manyLinesOfAMessagesFrameAreRefused() throws Exception {
        start(4_096);
        for (String line : List.of("Host: x\r\n", "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n")) {
            assertThat(line, outcome(START + line.repeat(500) + NONE).startsWith("400"), is(true));
        }
    }

    private void start(int bufferBytes) throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.WORKER_TASK_MAX_THREADS, 1));
        gate = CallerGate.open(
                worker,
                InetSocketAddress.createUnresolved("127.0.0.1", 0),
                new DefaultByteBufferPool(true, bufferBytes),
                OptionMap.EMPTY,
                exchange -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> serve(exchange)));
        gate.accept();
    }

    private void serve(HttpServerExchange exchange) {
        MemoryAccount.Holding holding = gate.onRequest(exchange).orElseThrow();
        if (exchange.isRequestComplete()) {
            answer(exchange, HttpBody.EMPTY);
            return;
        }
        new BodyReader(exchange, 1_000_000, holding, result -> {
                    if (result instanceof Result.Ok<HttpBody, ?> ok) {
                        answer(exchange, ok.held());
                    }
                })
                .start(BODY_TIMEOUT_MILLIS);
    }

    /** Records the values of the name "a" and the body. */
    private void answer(HttpServerExchange exchange, HttpBody body) {
        StringBuilder request = new StringBuilder();
        if (exchange.getRequestHeaders().contains("a")) {
            for (String value : exchange.getRequestHeaders().get(new HttpString("a"))) {
                for (String part : value.split(",", -1)) {
                    request.append(part.strip()).append(',');
                }
            }
        }
        requests.add(request.append('|').append(body.text()).toString());
        exchange.setStatusCode(200);
        exchange.getResponseHeaders().put(new HttpString("Content-Length"), "0");
        exchange.endExchange();
    }

    /** Returns the status, or why there is none, and the values that were seen of the name "a". */
    private String outcome(String request) throws IOException {
        requests.clear();
        try (Caller caller = new Caller(gate.port())) {
            caller.write(request);
            int status = caller.read("POST").status();
            return status + " " + requests;
        } catch (IOException _e) {
            return "closed";
        }
    }

    private static void write(Caller caller, String text, Random random) {
        try {
            for (int start = 0; start < text.length(); ) {
                int end = Math.min(text.length(), start + 1 + random.nextInt(8_000));
                caller.write(text.substring(start, end));
                start = end;
            }
        } catch (IOException _e) {
            // The reads fail then.
        }
    }
}
