package org.geraniumstand.http.opaque;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.geraniumstand.http.fake.Caller;
import org.geraniumstand.http.fake.FakeServer;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.RelayServer;
import org.junit.jupiter.api.Test;

final class OpaqueListenerTest extends OpaqueListenerFixture {
    /** Number of slots with which a server accepts no call, not even into its queue. */
    private static final int NO_FREE_SLOTS = -6;

    @Test
    void relaysMethodTargetAndBodyUnchanged() throws Exception {
        try (FakeServer server =
                FakeServer.start((_r, c) -> c.answer(201, SIGNED_HEADERS + "Extra: yes\r\n", "made"))) {
            register(server);
            Caller.Answer answer = call("POST", "/unsafe/a%2Fb;c?d=%20e", CALL_HEADERS, "{\"any\": thing");

            assertThat(answer.status(), is(201));
            assertThat(answer.body(), is("made"));
            assertThat(answer.header("extra"), is("yes"));
            FakeServer.Request received = server.requests().get(0);
            assertThat(received.method() + " " + received.target(), is("POST /unsafe/a%2Fb;c?d=%20e"));
            assertThat(received.body(), is("{\"any\": thing"));
            assertThat(received.headers().get("team"), is("shops"));
            assertThat(received.headers().get("key"), nullValue());
        }
    }

    @Test
    void reportsEventsOfCallsToObserver() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, "x"))) {
            register(server);
            call("GET", "/safe/", CALL_HEADERS, "");
            call("GET", "/other/", CALL_HEADERS, "");

            assertThat(
                    observer.events(),
                    contains("started SAFE", "ended ANSWERED", "answered SAFE", "refused UNKNOWN_ROUTE"));
        }
    }

    @Test
    void rejectsInvalidCallsWithoutContactingAServer() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, "x"))) {
            register(server);

            assertThat(call("GET", "/other/", CALL_HEADERS, "").status(), is(404));
            assertThat(
                    call("GET", "/safe/", "attempt: a-1\r\nkey: wrong\r\n", "").status(), is(401));
            assertThat(call("GET", "/safe/", "key: right\r\n", "").status(), is(400));
            assertThat(call("POST", "/safe/", CALL_HEADERS, "x".repeat(2_000)).status(), is(413));
            assertThat(server.requests(), is(empty()));
        }
    }

    @Test
    void rejectsBodyWithTwoLengths() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, "x"));
                Caller caller = new Caller(port)) {
            register(server);
            caller.write("POST /safe/ HTTP/1.1\r\nHost: x\r\n" + CALL_HEADERS
                    + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");

            assertThat(caller.read("POST").status(), is(400));
            assertThat(server.requests(), is(empty()));
        }
    }

    @Test
    void refusesAsNotRunWhenNoConfigurationArrives() throws Exception {
        Caller.Answer answer = call("GET", "/safe/", CALL_HEADERS, "");

        assertThat(answer.status(), is(503));
        assertThat(answer.body(), containsString("not-run"));
        assertThat(answer.header("retry-after"), is(not("0")));
    }

    @Test
    void retriesSafeCallAtAnotherServerAfterConnectionFailure() throws Exception {
        try (FakeServer broken = FakeServer.start((_r, _c) -> {
                    throw new IOException("simulated connection failure");
                });
                FakeServer healthy = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, "fine"))) {
            register(broken, healthy);
            for (int i = 0; i < 4; i++) {
                assertThat(call("GET", "/safe/" + i, CALL_HEADERS, "").body(), is("fine"));
            }
        }
    }

    @Test
    void neverRetriesUnsafeCall() throws Exception {
        try (FakeServer broken = FakeServer.start((_r, _c) -> {
                    throw new IOException("simulated connection failure");
                });
                FakeServer other = FakeServer.start((_r, _c) -> {
                    throw new IOException("simulated connection failure");
                })) {
            register(broken, other);

            assertThat(call("POST", "/unsafe/", CALL_HEADERS, "x").status(), is(502));
            assertThat(broken.requests().size() + other.requests().size(), is(1));
        }
    }

    @Test
    void retriesUnsafeCallThatServerDeclaresNotRun() throws Exception {
        try (FakeServer declining = FakeServer.start((_r, c) -> c.answer(503, SIGNED_HEADERS + "not-run: 1\r\n", ""));
                FakeServer healthy = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, "done"))) {
            register(declining, healthy);
            for (int i = 0; i < 4; i++) {
                assertThat(call("POST", "/unsafe/" + i, CALL_HEADERS, "x").body(), is("done"));
            }
        }
    }

    @Test
    void neverRelaysUnsignedSuccess() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, "attempt: a-1\r\n", "forged"))) {
            register(server);

            assertThat(call("POST", "/unsafe/", CALL_HEADERS, "x").status(), is(502));
        }
    }

    @Test
    void neverRelaysAnswerToAnotherRequest() throws Exception {
        try (FakeServer server =
                FakeServer.start((_r, c) -> c.answer(200, "attempt: other\r\nsigned: yes\r\n", "late"))) {
            register(server);

            assertThat(call("POST", "/unsafe/", CALL_HEADERS, "x").status(), is(502));
        }
    }

    @Test
    void relaysServerErrorUnchanged() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(500, SIGNED_HEADERS, "sorry"))) {
            register(server);
            Caller.Answer answer = call("POST", "/unsafe/", CALL_HEADERS, "x");

            assertThat(answer.status(), is(500));
            assertThat(answer.body(), is("sorry"));
            assertThat(answer.headers().get("signed"), is(notNullValue()));
        }
    }

    @Test
    void neverRelaysTruncatedAnswerAsComplete() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> {
            c.write("HTTP/1.1 200 OK\r\n" + SIGNED_HEADERS + "Content-Length: 10\r\n\r\nhalf");
            throw new IOException("simulated connection loss");
        })) {
            register(server);

            assertThat(call("POST", "/unsafe/", CALL_HEADERS, "x").status(), is(502));
        }
    }

    @Test
    void resumesResumableStreamAtAnotherServer() throws Exception {
        FakeServer.Script script = (request, c) -> {
            startChunks(c);
            boolean resumed = "1".equals(request.headers().get("after"));
            chunk(c, resumed ? "id: 2\ndata: b\n\n" : "id: 1\ndata: a\n\nid: 2\nda");
            if (!resumed) {
                throw new IOException("simulated connection loss");
            }
            c.write("0\r\n\r\n");
        };
        Caller.Answer answer = callToTwoServers("/stream/", script);

        assertThat(answer.body(), is("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
        assertThat(answer.complete(), is(true));
    }

    @Test
    void refusesAtDeadlineWhenServerIsUnresponsive() throws Exception {
        try (FakeServer server = FakeServer.start((_r, _c) -> Thread.sleep(10_000))) {
            register(server);
            long start = System.nanoTime();
            Caller.Answer answer = call("POST", "/unsafe/", "attempt: a-1\r\nkey: right\r\nwait: 300\r\n", "x");

            assertThat(answer.status(), is(504));
            assertThat(System.nanoTime() - start < 1_000_000_000L, is(true));
        }
    }

    @Test
    void cancelsAttemptWhenCallerDisconnects() throws Exception {
        CountDownLatch arrived = new CountDownLatch(1);
        try (FakeServer server = FakeServer.start((_r, c) -> {
            startChunks(c);
            chunk(c, "id: 1\ndata: a\n\n");
            arrived.countDown();
        })) {
            register(server);
            try (Caller caller = new Caller(port)) {
                caller.send("POST", "/stream/", CALL_HEADERS, "x");
                assertThat(arrived.await(5, TimeUnit.SECONDS), is(true));
                caller.readUntil("data: a");
            }
            awaitDisconnect(server);
        }
    }

    /** A call that is sent late in a shutdown would be cut at its end, and may not be repeated. */
    @Test
    void refusesRequestWhoseBodyIsCompleteOnlyDuringTheShutdown() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, "x"));
                Caller caller = new Caller(port)) {
            register(server);
            caller.write("POST /unsafe/ HTTP/1.1\r\nHost: x\r\n" + CALL_HEADERS + "Content-Length: 2\r\n\r\n1");
            Thread.sleep(100);
            listener.disableKeepAlive();
            listener.refuseNewRequests();
            Thread.sleep(100);
            caller.write("2");

            assertThat(caller.read("POST").status(), is(503));
            assertThat(server.requests(), is(empty()));
        }
    }

    /** At the end of a shutdown a call gets an answer, not a closed connection. */
    @Test
    void answersCallsThatAreOpenWhenTheProcessEnds() throws Exception {
        try (FakeServer server = FakeServer.start((_r, _c) -> Thread.sleep(10_000));
                Caller caller = new Caller(port)) {
            register(server);
            caller.send("POST", "/unsafe/", CALL_HEADERS, "x");
            for (int i = 0; i < 100 && server.requests().isEmpty(); i++) {
                Thread.sleep(10);
            }
            listener.answerOpenCalls();

            assertThat(caller.read("POST").status(), is(502));
        }
    }

    @Test
    void refusesWaitingCallsWhenTheProcessEnds() throws Exception {
        try (FakeServer server = FakeServer.start((_r, _c) -> Thread.sleep(10_000));
                Caller caller = new Caller(port)) {
            configure();
            register("s0", server.port(), NO_FREE_SLOTS);
            caller.send("POST", "/unsafe/", CALL_HEADERS, "x");
            Thread.sleep(200);
            listener.answerOpenCalls();

            assertThat(caller.read("POST").status(), is(503));
            assertThat(server.requests(), is(empty()));
        }
    }

    /** The server's entry still says that it is ready. */
    @Test
    void sendsNothingToAServerThatAnnouncedThatItLeaves() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS + "leaving: 1\r\n", "x"))) {
            register(server);
            Caller.Answer first = call("GET", "/safe/", CALL_HEADERS, "");

            assertThat(first.status(), is(200));
            assertThat(first.headers().containsKey("leaving"), is(false));
            assertThat(call("GET", "/safe/", CALL_HEADERS, "").status(), is(503));
            assertThat(server.requests().size(), is(1));
        }
    }

    @Test
    void sendsNothingToAServerThatAskedForAPauseBeyondTheDeadline() throws Exception {
        try (FakeServer server =
                FakeServer.start((_r, c) -> c.answer(503, "attempt: a-1\r\nnot-run: 1\r\npause: 60000\r\n", ""))) {
            register(server);

            assertThat(call("GET", "/safe/", CALL_HEADERS, "").status(), is(503));
            assertThat(call("GET", "/safe/", CALL_HEADERS, "").status(), is(503));
            assertThat(server.requests().size(), is(1));
        }
    }

    /** The platform allows 5 requests in 4 s to a server that accepts one in ten seconds. */
    @Test
    void sendsNoMoreThanAServerNamesAsItsLimit() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS + "limit: 0.1\r\n", "x"))) {
            register(server);
            Caller.Answer first = call("GET", "/safe/", CALL_HEADERS, "");
            for (int i = 0; i < 10; i++) {
                call("GET", "/safe/", CALL_HEADERS, "");
            }

            assertThat(first.headers().containsKey("limit"), is(false));
            assertThat(server.requests().size(), lessThanOrEqualTo(5));
        }
    }

    /** Guards against a refusal without any headers that ends the limit of a server in need. */
    @Test
    void keepsTheLimitOfAServerThatRefusesWithoutNamingIt() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        try (FakeServer server = FakeServer.start((_request, c) -> {
            if (requests.incrementAndGet() == 1) {
                c.answer(200, SIGNED_HEADERS + "limit: 2\r\n", "x");
            } else {
                c.answer(503, "not-run: 1\r\n", "");
            }
        })) {
            register(server);
            long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
            while (System.nanoTime() - endNanos < 0) {
                call("GET", "/safe/", CALL_HEADERS, "");
            }

            assertThat(requests.get(), lessThanOrEqualTo(11));
        }
    }

    @Test
    void cancelsAttemptWhenCallerDisconnectsBeforeAnswer() throws Exception {
        CountDownLatch arrived = new CountDownLatch(1);
        try (FakeServer server = FakeServer.start((_r, _c) -> arrived.countDown())) {
            register(server);
            try (Caller caller = new Caller(port)) {
                caller.send("POST", "/stream/", CALL_HEADERS, "x");
                assertThat(arrived.await(5, TimeUnit.SECONDS), is(true));
            }
            awaitDisconnect(server);
        }
    }

    /**
     * Guards against the outcome "unknown" for a call that a server declined: the only server reports that it did not
     * run the call and has no free slot any more, so the call waits until it is refused.
     */
    @Test
    void reportsNotRunIfDeclinedCallFindsNoOtherServer() throws Exception {
        AtomicInteger ownPort = new AtomicInteger();
        try (FakeServer server = FakeServer.start((_r, c) -> {
            try {
                register("s0", ownPort.get(), NO_FREE_SLOTS);
            } catch (InterruptedException _e) {
                Thread.currentThread().interrupt();
            }
            c.answer(503, SIGNED_HEADERS + "not-run: yes\r\n", "");
        })) {
            ownPort.set(server.port());
            register(server);

            assertThat(call("POST", "/unsafe/", CALL_HEADERS, "x").status(), is(503));
            assertThat(server.requests(), hasSize(1));
        }
    }

    /** Guards against sending requests whose callers disconnected while the process was paused. */
    @Test
    void sendsNothingIfCallerDisconnectedBeforeItsRequestWasRead() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, "x"))) {
            register(server);
            CountDownLatch disconnected = new CountDownLatch(1);
            worker.getIoThread(0).execute(() -> await(disconnected));
            try (Caller caller = new Caller(port)) {
                caller.write("GET /safe/ HTTP/1.1\r\nHost: x\r\n" + CALL_HEADERS + "\r\n");
            }
            disconnected.countDown();
            onThread(() -> {});
            assertThat(call("GET", "/safe/", CALL_HEADERS, "").status(), is(200));

            assertThat(server.requests(), hasSize(1));
        }
    }

    /**
     * Guards against sending a request whose caller disconnects while the I/O thread is blocked between the selection
     * of a server and the connection to it.
     */
    @Test
    void sendsNothingIfCallerDisconnectedBeforeServerConnectionWasEstablished() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, "x"))) {
            register(server);
            for (int i = 0; i < 20; i++) {
                CountDownLatch chosen = new CountDownLatch(1);
                CountDownLatch disconnected = new CountDownLatch(1);
                beforeSend.set(() -> {
                    chosen.countDown();
                    await(disconnected);
                });
                try (Caller caller = new Caller(port)) {
                    caller.write("GET /safe/ HTTP/1.1\r\nHost: x\r\n" + CALL_HEADERS + "\r\n");
                    await(chosen);
                }
                disconnected.countDown();
                onThread(() -> {});
            }
            beforeSend.set(() -> {});
            assertThat(call("GET", "/safe/", CALL_HEADERS, "").status(), is(200));

            assertThat(server.requests(), hasSize(1));
        }
    }

    /** Runs a task between the selection of the first server and the connection to it. */
    private void beforeConnecting(Runnable task) {
        beforeSend.set(() -> {
            beforeSend.set(() -> {});
            worker.getIoThread(0).execute(task);
        });
    }

    /** Guards against sending a call to a server that is removed while connecting, which takes up to half a second. */
    @Test
    void sendsNothingToServerThatWasRemovedWhileConnecting() throws Exception {
        try (FakeServer removed = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, "late"));
                FakeServer other = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, "whole"))) {
            register(removed);
            RelayServer next = server("s1", other.port(), 8);
            beforeConnecting(() -> {
                dispatcher.fleet().onRemoved(new ServerId("s0"));
                dispatcher.fleet().onListed(next, System.nanoTime());
            });

            assertThat(call("POST", "/unsafe/", CALL_HEADERS, "x").body(), is("whole"));
            assertThat(removed.requests(), empty());
        }
    }

    @Test
    void refusesCallWhoseOnlyServerWasRemovedBeforeSending() throws Exception {
        try (FakeServer removed = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, "late"))) {
            register(removed);
            beforeConnecting(() -> dispatcher.fleet().onRemoved(new ServerId("s0")));

            assertThat(call("POST", "/unsafe/", CALL_HEADERS, "x").status(), is(503));
            assertThat(removed.requests(), empty());
        }
    }

    private static void awaitDisconnect(FakeServer server) throws InterruptedException {
        for (int i = 0; i < 60 && server.disconnects() == 0; i++) {
            Thread.sleep(20);
        }
        assertThat(server.disconnects(), is(1));
    }

    @Test
    void refusesRequestsLateInShutdown() throws Exception {
        try (FakeServer server = FakeServer.start((_r, c) -> c.answer(200, SIGNED_HEADERS, "x"))) {
            register(server);
            listener.disableKeepAlive();
            assertThat(call("GET", "/safe/", CALL_HEADERS, "").status(), is(200));
            listener.refuseNewRequests();
            onThread(() -> {});

            assertThat(call("GET", "/safe/", CALL_HEADERS, "").status(), is(503));
        }
    }
}
