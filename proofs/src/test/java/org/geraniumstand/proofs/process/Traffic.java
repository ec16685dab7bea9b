package org.geraniumstand.proofs.process;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.geraniumstand.standins.load.Caller;
import org.geraniumstand.standins.load.Load;
import org.geraniumstand.standins.load.Profile;
import org.geraniumstand.standins.load.RequestResult;
import org.geraniumstand.standins.load.RequestResult.Verdict;

/** Sends requests in the background while a test injects faults. */
final class Traffic {
    /** Only streams, long enough to be in progress when a fault is injected. */
    static final Profile LONG_STREAMS = new Profile(0, 0, 0, 80, 80, 4);

    /** Streams, short completions, and orders with and without idempotency keys. */
    static final Profile MIXED = new Profile(0.15, 0.25, 0.2, 10, 60, 4);

    /** Only orders, half of them with idempotency keys. */
    static final Profile ORDERS = new Profile(0.5, 0.5, 0, 10, 1, 1);

    private static final long RUN_LIMIT_MILLIS = 600_000;

    private final Future<List<RequestResult>> pending;

    private Traffic(Future<List<RequestResult>> pending) {
        this.pending = pending;
    }

    static Traffic start(Caller caller, Profile profile, long seed, int count, double perSecond) {
        ExecutorService thread = Executors.newSingleThreadExecutor();
        Load load = new Load(List.of(caller), profile, seed, "s" + seed);
        Future<List<RequestResult>> pending = thread.submit(() -> load.run(count, RUN_LIMIT_MILLIS, perSecond));
        thread.shutdown();
        return new Traffic(pending);
    }

    /** Waits until all requests have ended and returns their results. */
    List<RequestResult> finish() {
        return get(pending);
    }

    /** Runs calls concurrently, waits for all of them and returns their results in order. */
    static <T> List<T> callConcurrently(List<Callable<T>> calls) {
        ExecutorService threads = Executors.newFixedThreadPool(Math.max(1, calls.size()));
        List<Future<T>> futures = new ArrayList<>();
        calls.forEach(call -> futures.add(threads.submit(call)));
        threads.shutdown();
        return futures.stream().map(Traffic::get).toList();
    }

    static List<RequestResult> unanswered(List<RequestResult> results) {
        return results.stream().filter(t -> t.verdict() != Verdict.ANSWERED).toList();
    }

    private static <T> T get(Future<T> future) {
        try {
            return future.get(RUN_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("background requests failed or did not end within 600 s", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
