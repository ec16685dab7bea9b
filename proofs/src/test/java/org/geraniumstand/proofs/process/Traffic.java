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

/** Requests that go on in the background while a proof brings about failures. */
final class Traffic {
    /** Streams alone, long enough to be under way when something happens to them. */
    static final Profile LONG_STREAMS = new Profile(0, 0, 0, 80, 80, 4);

    /** Streams, short completions and orders with and without keys. */
    static final Profile MIXED = new Profile(0.15, 0.25, 0.2, 10, 60, 4);

    /** Orders alone, half of them with keys. */
    static final Profile ORDERS = new Profile(0.5, 0.5, 0, 10, 1, 1);

    private static final long FOREVER_MILLIS = 600_000;

    private final Future<List<RequestResult>> running;

    private Traffic(Future<List<RequestResult>> running) {
        this.running = running;
    }

    static Traffic start(Caller caller, Profile profile, long seed, int count, double perSecond) {
        ExecutorService thread = Executors.newSingleThreadExecutor();
        Load load = new Load(List.of(caller), profile, seed, "s" + seed);
        Future<List<RequestResult>> running = thread.submit(() -> load.run(count, FOREVER_MILLIS, perSecond));
        thread.shutdown();
        return new Traffic(running);
    }

    /** Waits until all requests have ended. */
    List<RequestResult> finish() {
        return get(running);
    }

    /** Makes calls at the same time and waits for all of them. */
    static <T> List<T> together(List<Callable<T>> calls) {
        ExecutorService threads = Executors.newFixedThreadPool(Math.max(1, calls.size()));
        List<Future<T>> sent = new ArrayList<>();
        calls.forEach(call -> sent.add(threads.submit(call)));
        threads.shutdown();
        return sent.stream().map(Traffic::get).toList();
    }

    static List<RequestResult> notAnswered(List<RequestResult> told) {
        return told.stream().filter(t -> t.verdict() != Verdict.ANSWERED).toList();
    }

    private static <T> T get(Future<T> future) {
        try {
            return future.get(FOREVER_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("the callers failed", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
