package org.geraniumstand.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Sends requests at the times that a seed gives, whether or not earlier ones have been answered. */
public final class Load {
    private static final int SHOP_PREFIXES = 20;
    private static final int NANOS_PER_MILLI = 1_000_000;

    private final List<Caller> callers;
    private final Profile profile;
    private final Random random;
    private final String run;

    /**
     * Creates a load.
     *
     * @param callers who calls; a request's caller is drawn among them
     * @param profile what they ask for
     * @param seed gives all that is drawn
     * @param run prefix of all names of requests
     */
    public Load(List<Caller> callers, Profile profile, long seed, String run) {
        this.callers = List.copyOf(callers);
        this.profile = profile;
        this.random = new Random(seed);
        this.run = run;
    }

    /**
     * Sends requests and waits until all have ended.
     *
     * @param count how many at most
     * @param millis how long at most, in milliseconds
     * @param perSecond how many a second
     * @return what the callers were told, in the order of sending
     */
    public List<Told> run(int count, long millis, double perSecond) throws InterruptedException {
        ExecutorService threads = Executors.newCachedThreadPool();
        List<Future<Told>> sent = new ArrayList<>();
        long start = System.nanoTime();
        double due = 0;
        for (int i = 0; i < count; i++) {
            due += -Math.log(1 - random.nextDouble()) / perSecond * 1_000;
            if (due > millis) {
                break;
            }
            long left = (long) due - (System.nanoTime() - start) / NANOS_PER_MILLI;
            if (left > 0) {
                Thread.sleep(left);
            }
            sent.add(threads.submit(next(i)::call));
        }
        List<Told> told = new ArrayList<>();
        for (Future<Told> future : sent) {
            told.add(wait(future));
        }
        threads.shutdown();
        return told;
    }

    private static Told wait(Future<Told> future) throws InterruptedException {
        try {
            return future.get(10, TimeUnit.MINUTES);
        } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
            throw new IllegalStateException("a caller failed", e);
        }
    }

    private Request next(int number) {
        Caller caller = callers.get(random.nextInt(callers.size()));
        String id = run + "-" + number;
        double kind = random.nextDouble();
        int tokens = profile.minTokens() + random.nextInt(profile.spreadTokens());
        String prompt = prompt(id);
        if (kind < profile.orders()) {
            return () -> caller.order(id, "");
        }
        if (kind < profile.orders() + profile.keyedOrders()) {
            return () -> caller.order(id, "key-" + id);
        }
        if (kind < profile.orders() + profile.keyedOrders() + profile.wholeCompletions()) {
            return () -> caller.complete(id, prompt, tokens);
        }
        return () -> caller.stream(id, prompt, tokens);
    }

    private String prompt(String id) {
        String shop = "You answer for shop " + random.nextInt(SHOP_PREFIXES) + ". ";
        return shop.repeat(profile.prefixRepeats()) + "Request " + id;
    }

    private interface Request {
        Told call();
    }
}
