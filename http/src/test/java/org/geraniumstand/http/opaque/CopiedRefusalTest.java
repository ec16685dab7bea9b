package org.geraniumstand.http.opaque;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.in;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.geraniumstand.http.fake.Caller;
import org.geraniumstand.http.fake.FakeServer;
import org.geraniumstand.http.fake.RepeatedAnswers;
import org.geraniumstand.http.fake.RepeatedAnswers.Setup;
import org.geraniumstand.http.fake.RepeatedAnswers.Timing;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that an answer which a server repeats is never taken for the answer to a later attempt or to another call. */
@Timeout(120)
final class CopiedRefusalTest extends OpaqueListenerFixture {
    private static final int CALLS = 5;
    private static final int CONCURRENT_CALLS = 8;

    /** Time within which a server reads a request that was sent while it was busy with an earlier one. */
    private static final long SETTLE_MILLIS = 100;

    private static final long PATIENT_TIMEOUT_MILLIS = 15_000;

    /** Half the time after which a call that may be repeated is sent to another server. */
    private static final long PATIENT_TARGET_MILLIS = 5_000;

    /** Maximum number of servers that the routes of the fixture allow. */
    private static final int MAX_ATTEMPTS = 2;

    private static final String EMPTY = "Content-Length: 0\r\n\r\n";
    private static final String EVENT = "id: 1\ndata: done\n\n";

    private final Set<String> sent = ConcurrentHashMap.newKeySet();
    private final List<FakeServer> servers = new ArrayList<>();
    private final ExecutorService callers = Executors.newFixedThreadPool(CONCURRENT_CALLS);
    private RepeatedAnswers answers;

    @AfterEach
    void closeServers() throws IOException {
        callers.shutdownNow();
        for (FakeServer server : servers) {
            server.close();
        }
    }

    @Override
    void configure() throws InterruptedException {
        configure(PATIENT_TIMEOUT_MILLIS, PATIENT_TARGET_MILLIS);
    }

    private static String refusal(int status, String id, String rest) {
        String misdirected = status == 421 ? "other-server: 1\r\n" : "";
        return "HTTP/1.1 " + status + " Refused\r\nattempt: " + id + "\r\nnot-run: 1\r\n" + misdirected + rest;
    }

    private static String refusal(String id) {
        return refusal(503, id, EMPTY);
    }

    private static String failure(String id) {
        return "HTTP/1.1 500 Failed\r\nattempt: " + id + "\r\nsigned: yes\r\nContent-Length: 4\r\n\r\noops";
    }

    private static String success(String id) {
        return "HTTP/1.1 200 OK\r\nattempt: " + id + "\r\nsigned: yes\r\nContent-Length: " + EVENT.length() + "\r\n\r\n"
                + EVENT;
    }

    /** Starts servers that share the count of each call's arrivals. */
    private void startServers(int count, Setup setup) throws InterruptedException {
        answers = new RepeatedAnswers(setup);
        for (int i = 0; i < count; i++) {
            servers.add(FakeServer.start(answers));
        }
        register(servers.toArray(FakeServer[]::new));
    }

    private void startServer(Setup setup) throws InterruptedException {
        startServers(1, setup);
    }

    private static String method(String target) {
        return target.startsWith("/safe/") ? "GET" : "POST";
    }

    private Caller.Answer callAs(String id, String target) throws IOException {
        sent.add(id);
        String headers = "attempt: " + id + "\r\nkey: right\r\nwait: " + PATIENT_TIMEOUT_MILLIS + "\r\n";
        String method = method(target);
        return call(method, target, headers, method.equals("GET") ? "" : id);
    }

    /** Sends calls one after another and asserts that each is answered and ran exactly once. */
    private void assertCallsRunOnce(String target) throws Exception {
        Map<String, Caller.Answer> received = new LinkedHashMap<>();
        for (int i = 0; i < CALLS; i++) {
            String id = "a-" + i;
            received.put(id, callAs(id, target));
        }
        assertRanOnce(received, EVENT);
    }

    private void assertRanOnce(Map<String, Caller.Answer> received, String body) throws InterruptedException {
        Thread.sleep(SETTLE_MILLIS);
        List<String> outcomes = new ArrayList<>();
        received.forEach((id, answer) -> outcomes.add(outcome(
                answer.status(),
                answers.runs(id),
                answer.complete() && answer.body().equals(body))));

        assertThat(outcomes, everyItem(is(outcome(200, 1, true))));
        assertOnlySentRequestsArrived();
    }

    private static String outcome(int status, int runs, boolean whole) {
        return "status " + status + ", runs " + runs + ", " + (whole ? "whole" : "other") + " body";
    }

    private void assertOnlySentRequestsArrived() {
        assertThat(answers.ids(), everyItem(is(in(sent))));
        for (FakeServer server : servers) {
            for (FakeServer.Request request : server.requests()) {
                assertThat(request.method(), is(method(request.target())));
                assertThat(request.body(), is(request.method().equals("GET") ? "" : request.attemptId()));
            }
        }
    }

    static List<String> targets() {
        return List.of("/unsafe/", "/once/", "/stream/", "/safe/");
    }

    static Stream<Arguments> targetsAndTimings() {
        return targets().stream()
                .flatMap(target -> Stream.of(Timing.values()).map(timing -> Arguments.of(target, timing)));
    }

    static Stream<Arguments> targetsAndStatuses() {
        return targets().stream()
                .flatMap(target -> Stream.of(503, 429, 421, 408).map(status -> Arguments.of(target, status)));
    }

    /** Guards against a call that runs twice, as the copy of its refusal was taken for the answer to its second attempt. */
    @ParameterizedTest
    @MethodSource("targetsAndTimings")
    void neverTakesTheCopyOfARefusalForTheAnswerToTheNextAttempt(String target, Timing timing) throws Exception {
        startServer(new Setup(1, 1, timing, CopiedRefusalTest::refusal, CopiedRefusalTest::success));

        assertCallsRunOnce(target);
    }

    /** Guards against a copy that is recognized for one status only. */
    @ParameterizedTest
    @MethodSource("targetsAndStatuses")
    void neverTakesACopyOfAnyStatusForTheAnswerToTheNextAttempt(String target, int status) throws Exception {
        startServer(new Setup(
                1, 1, Timing.BEFORE_NEXT_ANSWER, id -> refusal(status, id, EMPTY), CopiedRefusalTest::success));

        assertCallsRunOnce(target);
    }

    /** Guards against a copy whose body is taken for the answer, or that is recognized for one kind of framing only. */
    @ParameterizedTest
    @CsvSource({
        "SAME_WRITE, 'Content-Length: 4\r\n\r\nfull'",
        "SAME_WRITE, 'Transfer-Encoding: chunked\r\n\r\n2\r\nfu\r\n2\r\nll\r\n0\r\n\r\n'",
        "SAME_WRITE, 'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n'",
        "BEFORE_NEXT_ANSWER, 'Content-Length: 4\r\n\r\nfull'",
        "BEFORE_NEXT_ANSWER, 'Transfer-Encoding: chunked\r\n\r\n2\r\nfu\r\n2\r\nll\r\n0\r\n\r\n'",
        "BEFORE_NEXT_ANSWER, 'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n'"
    })
    void neverTakesACopyWithABodyForTheAnswerToTheNextAttempt(Timing timing, String rest) throws Exception {
        startServer(new Setup(1, 1, timing, id -> refusal(503, id, rest), CopiedRefusalTest::success));

        assertCallsRunOnce("/unsafe/");
    }

    /** Guards against a call that waited for the end of the pause that its only server asked for, and then runs twice. */
    @ParameterizedTest
    @MethodSource("targets")
    void neverTakesACopyForTheAnswerAfterThePauseOfAServer(String target) throws Exception {
        startServer(new Setup(
                1,
                1,
                Timing.BEFORE_NEXT_ANSWER,
                id -> refusal(503, id, "pause: 30\r\n" + EMPTY),
                CopiedRefusalTest::success));

        assertCallsRunOnce(target);
    }

    /** Guards against a call that is answered as not run though it ran, or runs more often than its route allows. */
    @ParameterizedTest
    @CsvSource({
        "/unsafe/, 2",
        "/unsafe/, 8",
        "/once/, 2",
        "/once/, 8",
        "/stream/, 2",
        "/stream/, 8",
        "/safe/, 2",
        "/safe/, 8"
    })
    void neverRunsACallAgainForEachCopyOfItsRefusal(String target, int copies) throws Exception {
        startServer(new Setup(
                1, copies, Timing.BEFORE_NEXT_ANSWER, CopiedRefusalTest::refusal, CopiedRefusalTest::success));

        assertCallsRunOnce(target);
    }

    /** Guards against a copy from a server that a call returns to after all servers refused it. */
    @ParameterizedTest
    @CsvSource({"/unsafe/, 2", "/unsafe/, 3", "/once/, 2", "/stream/, 2", "/safe/, 3"})
    void neverTakesACopyForTheAnswerWhenAllServersRefusedBefore(String target, int serverCount) throws Exception {
        startServers(
                serverCount,
                new Setup(
                        serverCount,
                        1,
                        Timing.BEFORE_NEXT_ANSWER,
                        CopiedRefusalTest::refusal,
                        CopiedRefusalTest::success));

        assertCallsRunOnce(target);
    }

    /** Guards against a call that runs on more servers than its route allows, as each asks for a pause in a copy. */
    @ParameterizedTest
    @MethodSource("targets")
    void neverRunsACallOnMoreServersThanItsRouteAllows(String target) throws Exception {
        startServers(
                3,
                new Setup(
                        3,
                        1,
                        Timing.BEFORE_NEXT_ANSWER,
                        id -> refusal(503, id, "pause: 30\r\n" + EMPTY),
                        CopiedRefusalTest::success));

        for (int i = 0; i < CALLS; i++) {
            callAs("a-" + i, target);
        }
        Thread.sleep(SETTLE_MILLIS);
        for (int i = 0; i < CALLS; i++) {
            assertThat(
                    "servers that ran a-" + i, answers.serversThatRan("a-" + i), is(lessThanOrEqualTo(MAX_ATTEMPTS)));
        }
    }

    /** Guards against the copy of a refusal that is recognized once, but not when the retry is refused, too. */
    @ParameterizedTest
    @MethodSource("targets")
    void neverTakesACopyForTheAnswerWhenTheRetryIsRefusedToo(String target) throws Exception {
        startServer(new Setup(3, 1, Timing.BEFORE_NEXT_ANSWER, CopiedRefusalTest::refusal, CopiedRefusalTest::success));

        assertCallsRunOnce(target);
    }

    /** Guards against two answers with the same id on one connection, which nothing tells apart. */
    @ParameterizedTest
    @MethodSource("targets")
    void neverSendsACallAgainOnTheConnectionThatRefusedIt(String target) throws Exception {
        startServer(new Setup(2, 0, Timing.SAME_WRITE, CopiedRefusalTest::refusal, CopiedRefusalTest::success));

        assertCallsRunOnce(target);
        assertThat(answers.resendsOnSameConnection(), is(0));
    }

    /** Guards against a caller that sends its id once more, and whose call runs twice for a copy of the earlier refusal. */
    @ParameterizedTest
    @MethodSource("targets")
    void neverTakesACopyForTheAnswerWhenTheCallerRepeatsItsId(String target) throws Exception {
        startServer(new Setup(0, 1, Timing.BEFORE_NEXT_ANSWER, CopiedRefusalTest::refusal, CopiedRefusalTest::success));
        Map<String, Caller.Answer> received = new LinkedHashMap<>();
        for (int i = 0; i < CALLS; i++) {
            String id = "a-" + i;
            assertThat(callAs(id, target + RepeatedAnswers.NEVER_RUN).status(), is(503));
            received.put(id, callAs(id, target));
        }

        assertRanOnce(received, EVENT);
        assertThat(answers.resendsOnSameConnection(), is(0));
    }

    /** Guards against a call that ends with 502 for the copy of a refusal that another server has made good. */
    @ParameterizedTest
    @MethodSource("targetsAndTimings")
    void awaitsTheAnswerBehindTheCopyOfARefusalOfACallThatRanElsewhere(String target, Timing timing) throws Exception {
        startServers(2, new Setup(1, 1, timing, CopiedRefusalTest::refusal, CopiedRefusalTest::success));

        assertCallsRunOnce(target);
    }

    /** Guards against a call that ends with 502 or runs twice for the copy of another call's refusal. */
    @ParameterizedTest
    @MethodSource("targetsAndTimings")
    void awaitsTheAnswerBehindTheCopyOfAnotherCallsRefusal(String target, Timing timing) throws Exception {
        startServer(new Setup(0, 1, timing, CopiedRefusalTest::refusal, CopiedRefusalTest::success));

        assertCallsRunOnceAfterRefusals(target);
    }

    /** Guards against a copy that ends another call when there are several copies, or several servers send them. */
    @ParameterizedTest
    @CsvSource({"/unsafe/, 1, 4", "/unsafe/, 2, 1", "/unsafe/, 3, 3", "/once/, 1, 4", "/stream/, 2, 2", "/safe/, 3, 2"})
    void awaitsTheAnswerBehindSeveralCopies(String target, int serverCount, int copies) throws Exception {
        startServers(
                serverCount,
                new Setup(
                        0, copies, Timing.BEFORE_NEXT_ANSWER, CopiedRefusalTest::refusal, CopiedRefusalTest::success));

        assertCallsRunOnceAfterRefusals(target);
    }

    private void assertCallsRunOnceAfterRefusals(String target) throws Exception {
        Map<String, Caller.Answer> received = new LinkedHashMap<>();
        for (int i = 0; i < CALLS; i++) {
            String refused = "refused-" + i;
            assertThat(callAs(refused, target + RepeatedAnswers.NEVER_RUN).status(), is(503));
            String id = "a-" + i;
            received.put(id, callAs(id, target));
        }
        assertRanOnce(received, EVENT);
    }

    /** Guards against the copy of a failure that uses up the last attempt of a call, which a server then ran in vain. */
    @ParameterizedTest
    @CsvSource({
        "/safe/, SAME_WRITE",
        "/safe/, AFTER_1_MS",
        "/safe/, AFTER_20_MS",
        "/safe/, BEFORE_NEXT_ANSWER",
        "/stream/, SAME_WRITE",
        "/stream/, AFTER_1_MS",
        "/stream/, AFTER_20_MS",
        "/stream/, BEFORE_NEXT_ANSWER"
    })
    void neverTakesTheCopyOfAFailureForTheAnswerToTheNextAttempt(String target, Timing timing) throws Exception {
        startServer(new Setup(1, 1, timing, CopiedRefusalTest::failure, CopiedRefusalTest::success));

        assertCallsRunOnce(target);
    }

    /** Guards against the copy of a refusal that ends a stream which is resumed a second time. */
    @ParameterizedTest
    @EnumSource(Timing.class)
    void resumesBrokenStreamWhoseResumptionIsRefusedTwice(Timing timing) throws Exception {
        answers = new RepeatedAnswers(new Setup(
                2,
                1,
                timing,
                CopiedRefusalTest::refusal,
                id -> success(id).replace("id: 1\ndata: done", "id: 2\ndata: done")));
        AtomicInteger broken = new AtomicInteger();
        servers.add(FakeServer.start((request, connection) -> {
            if (request.headers().containsKey("after")) {
                answers.answer(request, connection);
                return;
            }
            broken.incrementAndGet();
            connection.write("HTTP/1.1 200 OK\r\nattempt: " + request.attemptId()
                    + "\r\nsigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n");
            chunk(connection, "id: 1\ndata: a\n\n");
            throw new IOException("simulated connection loss");
        }));
        register(servers.toArray(FakeServer[]::new));
        Map<String, Caller.Answer> received = new LinkedHashMap<>();
        for (int i = 0; i < CALLS; i++) {
            String id = "a-" + i;
            received.put(id, callAs(id, "/stream/"));
        }

        assertThat(broken.get(), is(CALLS));
        assertRanOnce(received, "id: 1\ndata: a\n\nid: 2\ndata: done\n\n");
    }

    /** Guards against calls in progress at the same time that take each other's copies. */
    @ParameterizedTest
    @CsvSource({"/unsafe/, 1", "/unsafe/, 2", "/once/, 1", "/stream/, 2"})
    void neverTakesACopyForTheAnswerToAnyOfManyCalls(String target, int serverCount) throws Exception {
        startServers(
                serverCount,
                new Setup(1, 2, Timing.AFTER_5_MS, CopiedRefusalTest::refusal, CopiedRefusalTest::success));
        Map<String, Future<Caller.Answer>> calls = new LinkedHashMap<>();
        for (int i = 0; i < CALLS * CONCURRENT_CALLS; i++) {
            String id = "a-" + i;
            calls.put(id, callers.submit(() -> callAs(id, target)));
        }
        Map<String, Caller.Answer> received = new LinkedHashMap<>();
        for (Map.Entry<String, Future<Caller.Answer>> call : calls.entrySet()) {
            received.put(call.getKey(), call.getValue().get());
        }

        assertRanOnce(received, EVENT);
    }

    /** Guards against a defence that opens a connection for each refusal. */
    @ParameterizedTest
    @ValueSource(ints = {503, 429, 408})
    void keepsConnectionsThatCarriedARefusalForOtherCalls(int status) throws Exception {
        startServer(new Setup(1, 0, Timing.SAME_WRITE, id -> refusal(status, id, EMPTY), CopiedRefusalTest::success));
        Map<String, Caller.Answer> received = new LinkedHashMap<>();
        for (int i = 0; i < 20; i++) {
            String id = "a-" + i;
            received.put(id, callAs(id, "/unsafe/"));
        }

        assertRanOnce(received, EVENT);
        assertThat(servers.get(0).connections(), is(lessThanOrEqualTo(2)));
    }

    /** Guards against a defence that gives up a call which its only server refuses for a moment. */
    @Test
    void retriesCallThatItsOnlyServerRefusedOnce() throws Exception {
        startServer(new Setup(1, 0, Timing.SAME_WRITE, CopiedRefusalTest::refusal, CopiedRefusalTest::success));

        Map<String, Caller.Answer> received = new LinkedHashMap<>();
        for (String target : targets()) {
            String id = "a" + target.replace('/', '-');
            received.put(id, callAs(id, target));
        }

        assertRanOnce(received, EVENT);
        received.keySet().forEach(id -> assertThat(answers.arrivals(id), is(2)));
    }
}
