package org.geraniumstand.http.opaque;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.geraniumstand.http.fake.Caller;
import org.geraniumstand.http.fake.FakeServer;
import org.junit.jupiter.api.Test;

/** Tests that what a server sends behind an answer is not taken for the answer to the request that follows at once. */
final class CopiedStreamTest extends OpaqueListenerFixture {
    private static final int ORDERS = 10;

    /** Guards against events that a caller gets twice, as the copy of a stream that broke off was taken for its continuation. */
    @Test
    void ofAStreamThatBrokeOffIsNotTakenForItsContinuation() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        String text = "id: 1\ndata: a\n\nid: 2\nda";
        String broken = "HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS + "Transfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(text.length()) + "\r\n" + text + "\r\n0\r\n\r\n";
        try (FakeServer server = FakeServer.start((_request, c) -> {
            if (calls.incrementAndGet() == 1) {
                c.write(broken);
                c.repeatLater(broken, 20);
                return;
            }
            Thread.sleep(60);
            startChunks(c);
            chunk(c, "id: 2\ndata: b\n\n");
            c.write("0\r\n\r\n");
        })) {
            register(server);
            Caller.Answer answer = call("POST", "/stream/", CALL_HEADERS, "x");

            assertThat(answer.body(), is("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
            assertThat(answer.complete(), is(true));
        }
    }

    /** Guards against an order that is refused though it ran, as the copy of its first refusal came after it was sent again. */
    @Test
    void ofARefusalIsNotTakenForTheAnswerToTheSameOrder() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        String refusal = "HTTP/1.1 503 Full\r\nattempt: a-1\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
        try (FakeServer server = FakeServer.start((_request, c) -> {
            if (calls.incrementAndGet() == 1) {
                c.write(refusal);
                c.repeatLater(refusal, 20);
                return;
            }
            Thread.sleep(60);
            c.answer(200, SIGNED_HEADERS, "made");
        })) {
            register(server);
            Caller.Answer answer = call("POST", "/unsafe/", CALL_HEADERS, "x");

            assertThat(answer.status(), is(200));
            assertThat(calls.get(), is(2));
        }
    }

    /** Guards against a refusal without an id, behind an answer with one, that refuses the call that waits for the connection. */
    @Test
    void bytesBehindAnAnswerDoNotRefuseTheNextOrder() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        String refusal = "HTTP/1.1 503 Full\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
        try (FakeServer server = FakeServer.start((request, c) -> {
            boolean first = runs.incrementAndGet() == 1;
            Thread.sleep(100);
            c.write(success(request) + (first ? refusal : ""));
        })) {
            assertThat(statusesOfQueuedOrders(server), is(Collections.nCopies(ORDERS, 200)));
            assertThat(runs.get(), is(ORDERS));
        }
    }

    private static String success(FakeServer.Request request) {
        return "HTTP/1.1 200 OK\r\nattempt: " + request.attemptId()
                + "\r\nsigned: yes\r\nContent-Length: 4\r\n\r\nmade";
    }

    /** Sends orders at the same time to a server that takes one at a time. */
    private List<Integer> statusesOfQueuedOrders(FakeServer server) throws Exception {
        configure();
        register("s0", server.port(), 1);
        ExecutorService callers = Executors.newFixedThreadPool(ORDERS);
        try {
            List<Future<Integer>> answers = new ArrayList<>();
            for (int i = 0; i < ORDERS; i++) {
                String headers = CALL_HEADERS.replace("a-1", "a-" + i);
                answers.add(callers.submit(
                        () -> call("POST", "/unsafe/", headers, "x").status()));
                Thread.sleep(5);
            }
            List<Integer> statuses = new ArrayList<>();
            for (Future<Integer> answer : answers) {
                statuses.add(answer.get(10, TimeUnit.SECONDS));
            }
            return statuses;
        } finally {
            callers.shutdownNow();
        }
    }
}
