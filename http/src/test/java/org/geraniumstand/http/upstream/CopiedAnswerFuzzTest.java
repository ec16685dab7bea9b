package org.geraniumstand.http.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.geraniumstand.http.fake.FakeServer;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that each request gets its own answer whichever earlier answers a server repeats before and after it. */
@Timeout(120)
final class CopiedAnswerFuzzTest extends AttemptFixture {
    private static final int REQUESTS = 40;
    private static final List<String> STATUSES = List.of(
            "200 OK\r\n",
            "201 X\r\n",
            "404 X\r\n",
            "500 X\r\n",
            "503 Full\r\nX-Outcome: not-run\r\n",
            "421 X\r\nX-Outcome: not-run\r\n");

    private static String answer(Random random, String id, String body) {
        String head = "HTTP/1.1 " + STATUSES.get(random.nextInt(STATUSES.size())) + "X-Request-Id: " + id + "\r\n";
        return random.nextBoolean()
                ? head + "Content-Length: " + body.length() + "\r\n\r\n" + body
                : head + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n" + body
                        + "\r\n0\r\n\r\n";
    }

    private static FakeServer.Script script(long seed) {
        Random random = new Random(seed);
        Map<FakeServer.Connection, List<String>> answers = Collections.synchronizedMap(new IdentityHashMap<>());
        return (request, c) -> {
            List<String> earlier = answers.computeIfAbsent(c, _key -> new CopyOnWriteArrayList<>());
            StringBuilder text = new StringBuilder();
            String own;
            String later = "";
            int cut;
            synchronized (random) {
                for (int i = random.nextInt(3); i > 0 && !earlier.isEmpty(); i--) {
                    text.append(earlier.get(random.nextInt(earlier.size())));
                }
                own = answer(random, request.attemptId(), request.target());
                earlier.add(own);
                text.append(own);
                if (random.nextInt(4) == 0) {
                    text.append(earlier.get(random.nextInt(earlier.size())));
                }
                if (random.nextInt(3) == 0) {
                    later = earlier.get(random.nextInt(earlier.size()));
                }
                cut = random.nextInt(text.length() + 1);
            }
            // A copy follows an answer and does not stand within it.
            synchronized (earlier) {
                c.write(text.substring(0, cut));
                Thread.sleep(cut % 4);
                c.write(text.substring(cut));
            }
            if (!later.isEmpty()) {
                repeatLater(c, earlier, later, cut % 5);
                Thread.sleep(cut % 7);
            }
        };
    }

    private static void repeatLater(FakeServer.Connection connection, Object lock, String copy, long delayMillis) {
        CompletableFuture.delayedExecutor(delayMillis, TimeUnit.MILLISECONDS).execute(() -> {
            synchronized (lock) {
                try {
                    connection.write(copy);
                } catch (IOException _e) {
                    // The client has closed the connection.
                }
            }
        });
    }

    /** Guards against an answer that goes to another request than its own, wherever a server puts copies of earlier ones. */
    @ParameterizedTest
    @CsvSource({"1, 5"})
    void eachRequestGetsItsOwnAnswer(long from, long to) throws Exception {
        List<String> wrong = new ArrayList<>();
        for (long seed = from; seed <= to; seed++) {
            Random random = new Random(-seed);
            try (FakeServer server = FakeServer.start(script(seed))) {
                List<CompletableFuture<Ended>> running = new ArrayList<>();
                for (int i = 0; i < REQUESTS; i++) {
                    String path = "/" + seed + "/" + i;
                    String method = random.nextBoolean() ? "POST" : "GET";
                    AttemptSpec spec = new AttemptSpec(
                            "127.0.0.1",
                            server.port(),
                            method,
                            path,
                            List.of(),
                            "id" + random.nextInt(6),
                            EMPTY,
                            PATIENT);
                    running.add(start(spec, new AtomicReference<>()));
                    if (random.nextInt(4) > 0) {
                        Thread.sleep(random.nextInt(6));
                        running.get(running.size() - 1).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                    }
                }
                for (int i = 0; i < REQUESTS; i++) {
                    Ended ended = running.get(i).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                    if (!ended.body().equals("/" + seed + "/" + i)) {
                        wrong.add(seed + "/" + i + " " + ended);
                    }
                }
                assertThat(server.requests().size(), is(REQUESTS));
            }
        }
        assertThat(wrong, is(List.of()));
    }
}
