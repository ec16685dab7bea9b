package org.geraniumstand.http.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import org.geraniumstand.http.fake.FakeServer;
import org.geraniumstand.model.request.AttemptEnd;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that copies of answers of any kind are not taken for answers to later requests. */
@Timeout(60)
final class CopiedAnswerTest extends AttemptFixture {
    /** Guards against the copy of a success that is taken for the answer to the same request, which was sent again. */
    @Test
    void ofASuccessIsNotTakenForTheAnswerToTheSameRequest() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        try (FakeServer server = FakeServer.start((request, c) -> {
            int run = runs.incrementAndGet();
            String answer = "HTTP/1.1 200 X\r\nX-Request-Id: a\r\nContent-Length: 1\r\n\r\n" + run;
            Thread.sleep(run == 1 ? 0 : 100);
            c.write(answer);
            c.repeatLater(answer, 40);
        })) {
            send(server, "POST", "a");
            assertThat(send(server, "POST", "a"), is(new Ended(AttemptEnd.ANSWERED, 200, "2")));
        }
    }

    /** Guards against the copy of a failed lookup, which names no request, that is taken for the answer to the next lookup. */
    @Test
    void ofALookupWithoutAnIdIsNotTakenForTheAnswerToTheNextLookup() throws Exception {
        AtomicInteger lookups = new AtomicInteger();
        try (FakeServer server = FakeServer.start((request, c) -> {
            if (lookups.incrementAndGet() == 1) {
                c.answer(404, "", "");
                c.repeatLater("HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n", 40);
                return;
            }
            Thread.sleep(100);
            c.answer(200, "", "ran");
        })) {
            send(server, "GET", "a.lookup");
            assertThat(send(server, "GET", "b.lookup"), is(new Ended(AttemptEnd.ANSWERED, 200, "ran")));
        }
    }

    /** Guards against a copy that arrives in two packets while its connection is idle, of which the next request gets the second. */
    @ParameterizedTest
    @ValueSource(ints = {1, 10, 60, 91, 100})
    void isHarmlessWhereverItBeginsToArriveInAnIdleConnection(int cut) throws Exception {
        String copy = "HTTP/1.1 503 Full\r\nX-Request-Id: a\r\nX-Outcome: not-run\r\nContent-Length: 4\r\n\r\nfull";
        int length = Math.min(cut, copy.length());
        try (FakeServer server = FakeServer.start((request, c) -> {
            if (request.attemptId().equals("a")) {
                c.write(copy + copy.substring(0, length));
                c.repeatLater(copy.substring(length), 20);
            } else {
                Thread.sleep(60);
                c.write(own(request));
            }
        })) {
            for (int i = 0; i < 5; i++) {
                assertThat(chain(server, "a", "b"), is(new Ended(AttemptEnd.ANSWERED, 201, "made")));
            }
        }
    }

    /** Guards against bytes behind an answer that are taken for the answer to a request which waits for the connection. */
    @ParameterizedTest
    @ValueSource(strings = {"x", "\r\n", "HTTP/1.1 503 Full\r\nX-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"})
    void bytesAfterAnAnswerDoNotBreakTheNextRequest(String extra) throws Exception {
        try (FakeServer server = FakeServer.start((request, c) -> c.write(own(request) + extra))) {
            assertThat(chain(server, "a", "b"), is(new Ended(AttemptEnd.ANSWERED, 201, "made")));
        }
    }

    /** Guards against a defence that opens a connection for each request that has waited for another. */
    @Test
    void requestsThatFollowAtOnceShareAConnection() throws Exception {
        String[] ids = IntStream.range(0, 20).mapToObj(i -> "id" + i).toArray(String[]::new);
        try (FakeServer server = FakeServer.start((request, c) -> c.write(own(request)))) {
            assertThat(chain(server, ids), is(new Ended(AttemptEnd.ANSWERED, 201, "made")));
            assertThat(server.requests(), hasSize(ids.length));
            assertThat(server.connections(), is(1));
        }
    }

    /** Guards against a copy that is not known as one, as its server writes the id in another way. */
    @ParameterizedTest
    @ValueSource(
            strings = {"x-request-id: a", "X-REQUEST-ID:a", "X-Request-Id: a ", "X-Request-Id:\ta", "X-Request-Id:  a"})
    void isRecognizedHoweverItsIdIsWritten(String header) throws Exception {
        String copy = "HTTP/1.1 503 Full\r\n" + header + "\r\nX-Outcome: not-run\r\nContent-Length: 0\r\n\r\n";
        try (FakeServer server = FakeServer.start((request, c) -> {
            if (request.attemptId().equals("a")) {
                c.write(copy.replace(header, "X-Request-Id: a"));
            } else {
                c.write(copy + own(request));
            }
        })) {
            send(server, "POST", "a");
            assertThat(send(server, "POST", "b"), is(new Ended(AttemptEnd.ANSWERED, 201, "made")));
        }
    }

    /** Guards against the copy of an answer to a HEAD request, which has no body whatever its length, that takes bytes of the next. */
    @Test
    void ofAnAnswerToAHeadRequestIsReadWithoutABody() throws Exception {
        String head = "HTTP/1.1 503 Full\r\nX-Request-Id: a\r\nX-Outcome: not-run\r\nContent-Length: 4\r\n\r\n";
        AtomicReference<FakeServer.Connection> repeating = new AtomicReference<>();
        try (FakeServer server = FakeServer.start((request, c) -> {
            if (request.attemptId().equals("a")) {
                repeating.set(c);
                c.write(head);
            } else {
                c.write((repeating.get() == c ? head : "")
                        + (request.method().equals("HEAD") ? ownHead(request) : own(request)));
            }
        })) {
            send(server, "HEAD", "a");
            assertThat(send(server, "POST", "b"), is(new Ended(AttemptEnd.ANSWERED, 201, "made")));
            assertThat(send(server, "GET", "c"), is(new Ended(AttemptEnd.ANSWERED, 201, "made")));
            assertThat(send(server, "HEAD", "d"), is(new Ended(AttemptEnd.ANSWERED, 201, "")));
            assertThat(server.connections(), is(2));
        }
    }

    /** Sends requests, each of them within the end of the one before as queued calls are, and returns the end of the last. */
    private Ended chain(FakeServer server, String... ids) throws Exception {
        CompletableFuture<CompletableFuture<Ended>> last = new CompletableFuture<>();
        worker.getIoThread(0).execute(() -> last.complete(startChain(server, List.of(ids))));
        return last.thenCompose(ended -> ended).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private CompletableFuture<Ended> startChain(FakeServer server, List<String> ids) {
        CompletableFuture<Ended> ended = startOnThread(spec(server.port(), "POST", ids.get(0), EMPTY, PATIENT));
        return ids.size() == 1 ? ended : ended.thenCompose(_e -> startChain(server, ids.subList(1, ids.size())));
    }
}
