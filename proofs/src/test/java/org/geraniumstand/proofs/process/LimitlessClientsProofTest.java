package org.geraniumstand.proofs.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;

/**
 * Checks that clients without limits end no process: many odd header lines, bodies that stop short of their end,
 * requests sent ahead whose answers stay unread, and large answers that nobody reads, at both entrances. The heap is small, so that a small crowd suffices.
 */
final class LimitlessClientsProofTest {
    private static final int HEAP_MEGABYTES = 32;
    private static final long MAX_RESIDENT_KILOBYTES = 240 * 1024;
    private static final int MAX_DESCRIPTORS = 700;
    private static final int TIMEOUT_MILLIS = 10_000;

    /** Below the 16,384 bytes of a head that the configuration allows. */
    private static final int HEADER_LINES = 2_000;

    private static final int HEAD_CLIENTS = 300;
    private static final int LARGE_BODY_CLIENTS = 24;
    private static final int SMALL_BODY_CLIENTS = 300;
    private static final int TINY_CHUNK_CLIENTS = 12;
    private static final int TINY_CHUNKS = 200_000;
    private static final int SMALL_TINY_CHUNKS = 60_000;
    private static final int CHUNK_BYTES = 0x8000;
    private static final String CHUNK = "8000\r\n" + "x".repeat(CHUNK_BYTES) + "\r\n";
    private static final String TINY_CHUNK = "1\r\nx\r\n";
    private static final int AHEAD_CLIENTS = 100;
    private static final int REQUESTS_AHEAD = 3_000;
    private static final int UNREAD_CLIENTS = 150;
    private static final int LARGE_ANSWER_PARTS = 96;
    private static final String ANSWER_PART = "x".repeat(CHUNK_BYTES);

    /** Time that the clients who read nothing allow for their answers, in milliseconds; longer than the checks last. */
    private static final int UNREAD_TIMEOUT_MILLIS = 120_000;

    private static final String RELAY_LARGE = "GET /files/a HTTP/1.1\r\nHost: " + RelayCluster.HOST
            + "\r\nAttempt-Id: large\r\nDeadline-Ms: " + UNREAD_TIMEOUT_MILLIS + "\r\n\r\n";
    private static final String LARGE_ORDER = "large";

    /** The stand-in's HTTP library takes bodies of up to 2 MB. */
    private static final int LARGE_ORDER_PARTS = 56;

    private static final String OWN_LARGE = "GET /orders/" + LARGE_ORDER
            + " HTTP/1.1\r\nHost: localhost\r\nAuthorization: Bearer " + TestConfigurations.COUNTER_TOKEN
            + "\r\nRequest-Timeout: " + UNREAD_TIMEOUT_MILLIS / 1_000 + "\r\n\r\n";

    private static final String RELAY_HEAD =
            "POST /desk/a HTTP/1.1\r\nHost: " + RelayCluster.HOST + "\r\nAttempt-Id: a1\r\nDeadline-Ms: 10000\r\n";
    private static final String OWN_HEAD = "POST /orders HTTP/1.1\r\nHost: localhost\r\nAuthorization: Bearer "
            + TestConfigurations.COUNTER_TOKEN + "\r\nContent-Type: application/json\r\n";
    private static final String NO_BODY = "Content-Length: 0\r\n\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

    @Test
    void relaySurvivesManyHeaderLines() {
        try (RelayCluster cluster = relay()) {
            RelayCaller caller = cluster.caller(0);
            RelayCaller.Answer answer = caller.call("POST", "/desk/a", "calm", TIMEOUT_MILLIS, headerLines());
            caller.close();
            assertThat("one request with many header lines in calm", answer.status(), is(200));
            checkRelay(cluster, clients -> clients.open(HEAD_CLIENTS, RELAY_HEAD, "a:\r\n", HEADER_LINES, ""));
            checkRelay(cluster, clients -> clients.open(HEAD_CLIENTS, RELAY_HEAD, "a:\r\n", HEADER_LINES, NO_BODY));
        }
    }

    @Test
    void relaySurvivesBodiesThatStopShort() {
        try (RelayCluster cluster = relay()) {
            // One byte less than the 4 MB that the configuration allows.
            String last = "7fff\r\n" + "x".repeat(CHUNK_BYTES - 1) + "\r\n";
            checkRelay(
                    cluster,
                    clients -> clients.open(LARGE_BODY_CLIENTS, RELAY_HEAD + CHUNKED, CHUNK, 127, last)
                            .open(TINY_CHUNK_CLIENTS, RELAY_HEAD + CHUNKED, TINY_CHUNK, TINY_CHUNKS, ""));
        }
    }

    @Test
    void relaySurvivesRequestsSentAhead() {
        try (RelayCluster cluster = relay()) {
            String request = RELAY_HEAD.replace("/desk/a", "/none/a") + "Content-Length: 0\r\n\r\n";
            checkRelay(cluster, clients -> clients.open(AHEAD_CLIENTS, "", request, REQUESTS_AHEAD, ""));
        }
    }

    @Test
    void ownInterfaceSurvivesManyHeaderLines() {
        try (Cluster cluster = own()) {
            Http.Answer answer = order(cluster, Collections.nCopies(HEADER_LINES, "a"));
            assertThat("one request with many header lines in calm: " + answer.text(), answer.status() / 100, is(2));
            checkOwn(cluster, clients -> clients.open(HEAD_CLIENTS, OWN_HEAD, "a:\r\n", HEADER_LINES, ""));
            checkOwn(cluster, clients -> clients.open(HEAD_CLIENTS, OWN_HEAD, "a:\r\n", HEADER_LINES, NO_BODY));
        }
    }

    @Test
    void ownInterfaceSurvivesBodiesThatStopShort() {
        // Just below the 64 kB of the route.
        String last = "7fff\r\n" + "x".repeat(CHUNK_BYTES - 1) + "\r\n";
        checkOwn(clients -> clients.open(SMALL_BODY_CLIENTS, OWN_HEAD + CHUNKED, CHUNK, 1, last)
                .open(TINY_CHUNK_CLIENTS, OWN_HEAD + CHUNKED, TINY_CHUNK, SMALL_TINY_CHUNKS, ""));
    }

    @Test
    void ownInterfaceSurvivesRequestsSentAhead() {
        String request = OWN_HEAD.replace("/orders", "/none") + "Content-Length: 0\r\n\r\n";
        checkOwn(clients -> clients.open(AHEAD_CLIENTS, "", request, REQUESTS_AHEAD, ""));
    }

    @Test
    void relaySurvivesLargeAnswersThatNobodyReads() {
        try (RelayCluster cluster = relay()) {
            checkRelay(
                    cluster,
                    clients ->
                            clients.open(UNREAD_CLIENTS, RELAY_LARGE, "", 0, "").awaitAnswers());
        }
    }

    @Test
    void relaySurvivesClientsThatReadNothingAndComeAgain() {
        try (RelayCluster cluster = relay()) {
            checkRelay(
                    cluster,
                    clients -> clients.openAgain(UNREAD_CLIENTS, RELAY_LARGE).awaitAnswers());
        }
    }

    @Test
    void ownInterfaceSurvivesLargeAnswersThatNobodyReads() {
        checkOwn(clients -> clients.open(UNREAD_CLIENTS, OWN_LARGE, "", 0, "").awaitAnswers());
    }

    @Test
    void ownInterfaceSurvivesClientsThatReadNothingAndComeAgain() {
        checkOwn(clients -> clients.openAgain(UNREAD_CLIENTS, OWN_LARGE).awaitAnswers());
    }

    /** Opens the connections of a crowd. */
    @FunctionalInterface
    private interface Crowd {
        LimitlessClients open(LimitlessClients clients);
    }

    private static RelayCluster relay() {
        RelayCluster cluster = new RelayCluster(1, HEAP_MEGABYTES);
        cluster.configure(RelayConfigurations.builder()
                .route("desk", "desk", "safe", false, 3, TIMEOUT_MILLIS)
                .route("files", "desk", "safe", false, 3, UNREAD_TIMEOUT_MILLIS)
                .service("desk")
                .build());
        cluster.addServer("desk", 64, LimitlessClientsProofTest::answer);
        cluster.startProcesses();
        Conditions.await("the relay serves", () -> served(cluster));
        return cluster;
    }

    private static void answer(HttpMessage request, ScriptedServer.Connection connection) throws IOException {
        boolean large = request.target().startsWith("/files/");
        String body = large ? ANSWER_PART : "ok";
        int parts = large ? LARGE_ANSWER_PARTS : 1;
        connection.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + request.header("Attempt-Id") + "\r\nReplica-Seal: s."
                + connection.serverId() + "\r\nContent-Length: " + parts * body.length() + "\r\n\r\n" + body);
        for (int i = 1; i < parts; i++) {
            connection.write(body);
        }
    }

    private static boolean served(RelayCluster cluster) {
        try (RelayCaller caller = cluster.caller(0)) {
            String attempt = "ordinary-" + System.nanoTime();
            return caller.call("POST", "/desk/a", attempt, TIMEOUT_MILLIS, "").status() == 200;
        }
    }

    private static void checkRelay(RelayCluster cluster, Crowd crowd) {
        RelayHost host = cluster.process(0);
        check(host, host.address().callerPort(), crowd, () -> served(cluster));
    }

    private static void checkOwn(Crowd crowd) {
        try (Cluster cluster = own()) {
            addLargeOrder(cluster);
            checkOwn(cluster, crowd);
        }
    }

    private static void checkOwn(Cluster cluster, Crowd crowd) {
        EntryHost host = cluster.hosts().get(0);
        check(host, host.address().callerPort(), crowd, () -> ordered(cluster));
    }

    private static Cluster own() {
        Cluster cluster = Cluster.start(1, 5, HEAP_MEGABYTES);
        Conditions.await("the process serves", () -> ordered(cluster));
        return cluster;
    }

    private static boolean ordered(Cluster cluster) {
        return order(cluster, List.of()).status() / 100 == 2;
    }

    /** Sends an order with a further, empty header line for each of the names. */
    private static Http.Answer order(Cluster cluster, List<String> names) {
        List<String> headers = new ArrayList<>(List.of(
                "Authorization", "Bearer " + TestConfigurations.COUNTER_TOKEN, "Content-Type", "application/json"));
        for (String name : names) {
            headers.addAll(List.of(name, ""));
        }
        int port = cluster.hosts().get(0).address().callerPort();
        return Http.send(port, "POST", "/orders", "{}", headers.toArray(new String[0]));
    }

    /** Places an order at each desk, past the process, which answers every look-up of it with 1.8 MB. */
    private static void addLargeOrder(Cluster cluster) {
        String body = ANSWER_PART.repeat(LARGE_ORDER_PARTS);
        for (Backends.OrderDesk desk : cluster.backends().orderDesks()) {
            Http.Answer answer =
                    Http.send(desk.standin().port(), "POST", "/orders", body, "Idempotency-Key", LARGE_ORDER);
            assertThat("the large order is placed, " + answer.text(), answer.status(), is(201));
        }
    }

    /** Checks the process while the crowd's connections are still open. */
    private static void check(JavaProcess host, int port, Crowd crowd, BooleanSupplier served) {
        try (LimitlessClients clients = new LimitlessClients(port)) {
            crowd.open(clients).awaitSent();
            int descriptors = host.descriptors();
            boolean answered = Conditions.holdsWithin(Conditions.LIMIT_MILLIS, served);
            String lastLines = host.lastLines();
            System.out.printf(
                    "alive %s, answered %s, peak %d kB, %d descriptors%n",
                    host.alive(), answered, host.peakKilobytes(), descriptors);
            assertThat("the process lives\n" + lastLines, host.alive(), is(true));
            assertThat("an ordinary request is answered\n" + lastLines, answered, is(true));
            assertThat("an error of memory was met\n" + lastLines, host.log().contains("OutOfMemory"), is(false));
            assertThat("peak of memory, kB", host.peakKilobytes(), is(lessThan(MAX_RESIDENT_KILOBYTES)));
            assertThat("open descriptors", descriptors, is(lessThan(MAX_DESCRIPTORS)));
        }
    }

    private static String headerLines() {
        return "a:\r\n".repeat(HEADER_LINES);
    }
}
