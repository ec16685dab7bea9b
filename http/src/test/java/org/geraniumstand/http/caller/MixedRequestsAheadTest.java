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
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Sends requests ahead whose bodies are refused unread, read, or followed by a watch of the connection. */
@Timeout(60)
final class MixedRequestsAheadTest {
    private static final int REQUESTS = 30;
    private static final int BODY_TIMEOUT_MILLIS = 10_000;
    private static final int MAX_BODY_BYTES = 1_000_000;
    private static final List<String> PATHS = List.of("/refused", "/read", "/watched");

    private final LinkedBlockingQueue<String> requests = new LinkedBlockingQueue<>();
    private XnioWorker worker;
    private CallerGate gate;

    @AfterEach
    void stop() {
        gate.close();
        worker.shutdownNow();
    }

    @ParameterizedTest
    @ValueSource(
            ints = {
                1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28
            })
    void requestsSentAheadStayWhole(int seed) throws Exception {
        Random random = new Random(seed);
        start(List.of(200, 1_000, 4_096, 16_384).get(random.nextInt(4)));
        StringBuilder sent = new StringBuilder();
        List<String> expected = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String path = PATHS.get(random.nextInt(PATHS.size()));
            int lines = random.nextBoolean() ? 128 + random.nextInt(1_200) : random.nextInt(60);
            String body = "POST / HTTP/1.1\r\n" + "a: x\r\n".repeat(random.nextInt(700)) + "\r\n";
            sent.append("POST ").append(path).append(" HTTP/1.1\r\nHost: x\r\n");
            sent.append(("a: " + i + "\r\n").repeat(lines));
            sent.append(FramedBody.of(body, random));
            expected.add(path + "|" + (i + ",").repeat(lines) + "|" + (path.equals("/refused") ? "" : body));
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

    @ParameterizedTest
    @ValueSource(ints = {10, 1_500})
    void readsABodyThatIsAnnouncedByAnExpectation(int lines) throws Exception {
        start(4_096);
        try (Caller caller = new Caller(gate.port())) {
            for (int i = 0; i < 3; i++) {
                caller.write("POST /read HTTP/1.1\r\nHost: x\r\n" + "a: 1\r\n".repeat(lines)
                        + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n");
                // The listener continues no request by itself, so a caller sends the body after a pause.
                Thread.sleep(200);
                caller.write("body");
                assertThat(caller.read("POST").status(), is(200));
                assertThat(requests.poll(5, TimeUnit.SECONDS), is("/read|" + "1,".repeat(lines) + "|body"));
            }
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
        if (exchange.isRequestComplete() || exchange.getRequestPath().equals("/refused")) {
            answer(exchange, HttpBody.EMPTY);
            return;
        }
        new BodyReader(exchange, MAX_BODY_BYTES, holding, result -> {
                    if (result instanceof Result.Ok<HttpBody, ?> ok) {
                        onBody(exchange, ok.held());
                    }
                })
                .start(BODY_TIMEOUT_MILLIS);
    }

    private void onBody(HttpServerExchange exchange, HttpBody body) {
        if (exchange.getRequestPath().equals("/read")) {
            answer(exchange, body);
            return;
        }
        CallerWatch.start(exchange, () -> requests.add("left"));
        exchange.getIoThread().executeAfter(() -> answer(exchange, body), 5, TimeUnit.MILLISECONDS);
    }

    private void answer(HttpServerExchange exchange, HttpBody body) {
        StringBuilder request = new StringBuilder(exchange.getRequestPath()).append('|');
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

    private static void write(Caller caller, String text, Random random) {
        try {
            for (int start = 0; start < text.length(); ) {
                int end = Math.min(text.length(), start + 1 + random.nextInt(8_000));
                caller.write(text.substring(start, end));
                start = end;
                if (random.nextInt(4) == 0) {
                    Thread.sleep(random.nextInt(4));
                }
            }
        } catch (IOException | InterruptedException _e) {
            // The reads fail then.
        }
    }
}
