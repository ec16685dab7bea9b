package org.geraniumstand.http.fake;

import java.io.IOException;
import java.util.Collection;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import java.util.regex.Pattern;

/**
 * Scripts servers that answer each request without success at first, repeat these answers, and run the request when it
 * arrives again.
 */
public final class RepeatedAnswers implements FakeServer.Script {
    /** Ends the target of a request that is never run. */
    public static final String NEVER_RUN = "never";

    private static final long RUN_MILLIS = 20;

    /** End of the id of an attempt; a call that keeps its id for all attempts has none. */
    private static final Pattern ATTEMPT_NUMBER = Pattern.compile("\\.[0-9]+$");

    private final Setup setup;
    private final Map<String, Integer> arrivals = new ConcurrentHashMap<>();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final Map<String, Set<Integer>> ranOn = new ConcurrentHashMap<>();
    private final Map<FakeServer.Connection, Set<String>> unsuccessful =
            Collections.synchronizedMap(new IdentityHashMap<>());
    private final Map<FakeServer.Connection, String> pending = Collections.synchronizedMap(new IdentityHashMap<>());
    private final AtomicInteger resends = new AtomicInteger();
    private final AtomicInteger delayed = new AtomicInteger();

    /** Tells when an answer is sent again. */
    public enum Timing {
        /** In the same write as the answer itself. */
        SAME_WRITE(0),
        /** After one millisecond. */
        AFTER_1_MS(1),
        /** After five milliseconds. */
        AFTER_5_MS(5),
        /** After twenty milliseconds. */
        AFTER_20_MS(20),
        /** After sixty milliseconds. */
        AFTER_60_MS(60),
        /** When the next request has arrived on the connection, ahead of its answer. */
        BEFORE_NEXT_ANSWER(0);

        private final long millis;

        Timing(long millis) {
            this.millis = millis;
        }
    }

    /**
     * Describes the answers of the servers that share a script.
     *
     * @param failures number of times that a request is answered without success
     * @param copies number of times that each such answer is sent again
     * @param timing when it is sent again
     * @param failure creates the answer without success to the request with an id
     * @param success creates the answer to the request with an id once it was run
     */
    public record Setup(
            int failures, int copies, Timing timing, UnaryOperator<String> failure, UnaryOperator<String> success) {}

    /**
     * Creates a script without any requests.
     *
     * @param setup the answers
     */
    public RepeatedAnswers(Setup setup) {
        this.setup = setup;
    }

    /**
     * Returns how often a request arrived.
     *
     * @param id the id of the request, without the number of an attempt
     */
    public int arrivals(String id) {
        return arrivals.getOrDefault(id, 0);
    }

    /**
     * Returns how often a request was run.
     *
     * @param id the id of the request, without the number of an attempt
     */
    public int runs(String id) {
        return runs.getOrDefault(id, 0);
    }

    /**
     * Returns the number of servers that ran a request.
     *
     * @param id the id of the request, without the number of an attempt
     */
    public int serversThatRan(String id) {
        return ranOn.getOrDefault(id, Set.of()).size();
    }

    /** Returns how often each request was run that was run at all. */
    public Collection<Integer> runs() {
        return List.copyOf(runs.values());
    }

    /** Returns the ids of all requests that arrived. */
    public Set<String> ids() {
        return Set.copyOf(arrivals.keySet());
    }

    /** Returns how often a request arrived on a connection on which it had been answered without success. */
    public int resendsOnSameConnection() {
        return resends.get();
    }

    @Override
    public void answer(FakeServer.Request request, FakeServer.Connection connection)
            throws IOException, InterruptedException {
        String id = request.attemptId();
        Set<String> answered = unsuccessful.computeIfAbsent(connection, _key -> ConcurrentHashMap.newKeySet());
        if (answered.contains(id)) {
            resends.incrementAndGet();
        }
        String call = ATTEMPT_NUMBER.matcher(id).replaceFirst("");
        int arrival = arrivals.merge(call, 1, Integer::sum);
        String copies = pending.remove(connection);
        if (copies != null) {
            connection.write(copies);
        }
        if (arrival <= setup.failures() || request.target().endsWith(NEVER_RUN)) {
            answered.add(id);
            answerRepeatedly(connection, setup.failure().apply(id));
            return;
        }
        runs.merge(call, 1, Integer::sum);
        ranOn.computeIfAbsent(call, _key -> ConcurrentHashMap.newKeySet()).add(connection.serverPort());
        awaitDelayedCopies();
        Thread.sleep(RUN_MILLIS);
        connection.write(setup.success().apply(id));
    }

    private void answerRepeatedly(FakeServer.Connection connection, String text) throws IOException {
        String copies = text.repeat(setup.copies());
        switch (setup.timing()) {
            case SAME_WRITE -> connection.write(text + copies);
            case BEFORE_NEXT_ANSWER -> {
                pending.put(connection, copies);
                connection.write(text);
            }
            default -> {
                connection.write(text);
                delayed.incrementAndGet();
                connection.repeatLater(copies, setup.timing().millis, delayed::decrementAndGet);
            }
        }
    }

    private void awaitDelayedCopies() throws InterruptedException {
        while (delayed.get() > 0) {
            Thread.sleep(1);
        }
    }
}
