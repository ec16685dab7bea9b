package org.geraniumstand.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Generates open-loop load: sends requests at seeded random times, without waiting for earlier responses. */
public final class Load {
    private static final int SHOP_PREFIXES = 20;
    private static final int NANOS_PER_MILLI = 1_000_000;

    private final List<Caller> callers;
    private final Profile profile;
    private final Random random;
    private final String run;

    /**
     * Creates a load generator.
     *
     * @param callers the callers; each request picks one at random
     * @param profile the mix of requests
     * @param seed seed of all random choices
     * @param run prefix of all request ids
     */
    public Load(List<Caller> callers, Profile profile, long seed, String run) {
        this.callers = List.copyOf(callers);
        this.profile = profile;
        this.random = new Random(seed);
        this.run = run;
    }

    /**
     * Sends requests and waits until all have completed.
     *
     * @param count maximum number of requests
     * @param millis maximum duration of sending, in milliseconds
     * @param ratePerSecond mean number of requests per second
     * @return the results of the requests, in the order of sending
     */
    public List<RequestResult> run(int count, long millis, double ratePerSecond) throws InterruptedException {
        ExecutorService threads = Executors.newCachedThreadPool();
        List<Future<RequestResult>> pending = new ArrayList<>();
        long start = System.nanoTime();
        double dueMillis = 0;
        for (int i = 0; i < count; i++) {
            dueMillis += -Math.log(1 - random.nextDouble()) / ratePerSecond * 1_000;
            if (dueMillis > millis) {
                break;
            }
            long delayMillis = (long) dueMillis - (System.nanoTime() - start) / NANOS_PER_MILLI;
            if (delayMillis > 0) {
                Thread.sleep(delayMillis);
            }
            pending.add(threads.submit(newRequest(i)::call));
        }
        List<RequestResult> results = new ArrayList<>();
        for (Future<RequestResult> future : pending) {
            results.add(await(future));
        }
        threads.shutdown();
        return results;
    }

    private static RequestResult await(Future<RequestResult> future) throws InterruptedException {
        try {
            return future.get(10, TimeUnit.MINUTES);
        } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
            throw new IllegalStateException("request task failed", e);
        }
    }

    private Request newRequest(int number) {
        Caller caller = callers.get(random.nextInt(callers.size()));
        String id = run + "-" + number;
        double draw = random.nextDouble();
        int tokens = profile.minTokens() + random.nextInt(profile.extraTokensBound());
        String prompt = prompt(id);
        if (draw < profile.orders()) {
            return () -> caller.placeOrder(id, "");
        }
        if (draw < profile.orders() + profile.keyedOrders()) {
            return () -> caller.placeOrder(id, "key-" + id);
        }
        if (draw < profile.orders() + profile.keyedOrders() + profile.nonStreamingCompletions()) {
            return () -> caller.requestCompletion(id, prompt, tokens);
        }
        return () -> caller.requestStream(id, prompt, tokens);
    }

    private String prompt(String id) {
        String shop = "You answer for shop " + random.nextInt(SHOP_PREFIXES) + ". ";
        return shop.repeat(profile.sharedPrefixSentences()) + "Request " + id;
    }

    private interface Request {
        RequestResult call();
    }
}
