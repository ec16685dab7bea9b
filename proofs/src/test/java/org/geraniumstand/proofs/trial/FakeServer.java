package org.geraniumstand.proofs.trial;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.fleet.CacheEvent;
import org.geraniumstand.model.fleet.LoadReport;
import org.geraniumstand.model.request.AttemptEnd;

/**
 * A fake backend server.
 *
 * <p>An engine works in steps: each computes a chunk of the waiting prompts and one token of each running answer, so
 * tokens take longer the more requests share it. It caches prompt prefixes in limited memory. Cold, it is several times
 * slower, and falls over when it gets more than it can bear; it becomes warm by completing work. A plain service
 * answers after a time that grows with the requests that share it.
 */
public final class FakeServer {
    private static final double STEP_MILLIS = 15;
    private static final double STEP_PER_REQUEST_MILLIS = 1;
    private static final double PREFILL_MILLIS_PER_TOKEN = 0.2;
    private static final double PREFILL_CHUNK_TOKENS = 512;
    private static final double COPY_START_MILLIS = 40;
    private static final double COPY_MILLIS_PER_TOKEN = 0.03;
    private static final double PLAIN_MILLIS = 40;
    private static final double PLAIN_PER_REQUEST_MILLIS = 4;
    private static final double COLD_SLOWNESS = 5;
    private static final int WARM_AFTER_COMPLETED = 4;
    private static final double NOTICED_MILLIS = 2_000;
    private static final int BATCH = 24;
    private static final int CACHE_BLOCKS = 400;

    private final VirtualClock clock;
    private final Random random;
    private final Set<Long> everComputed;
    private final Deque<Work> queue = new ArrayDeque<>();
    private final List<Work> batch = new ArrayList<>();
    private final PrefixCache cache = new PrefixCache(CACHE_BLOCKS);
    private final double bornMillis;
    private final List<CacheEvent> events = new ArrayList<>();
    private BackendServer listed;
    private Behaviour behaviour;
    private int coldConcurrency;
    private boolean cold;
    private boolean dead;
    private boolean stepping;
    private int completedCold;
    private int carriedIntoCold;
    private int overloads;
    private int lateOverloads;
    private double coldSince;
    private long cacheSequence;
    private double busyMillis;
    private double computedTokens;
    private double recomputedTokens;

    FakeServer(
            VirtualClock clock,
            Random random,
            Set<Long> everComputed,
            BackendServer listed,
            Behaviour behaviour,
            int coldConcurrency) {
        this.clock = clock;
        this.random = random;
        this.everComputed = everComputed;
        this.listed = listed;
        this.behaviour = behaviour;
        this.coldConcurrency = coldConcurrency;
        this.bornMillis = clock.millis();
    }

    /** Returns the server as the platform knows it. */
    public BackendServer listed() {
        return listed;
    }

    /**
     * Changes how the platform lists the server.
     *
     * @param next the server as it is listed from now on
     */
    public void list(BackendServer next) {
        listed = next;
    }

    /**
     * Changes how the server behaves.
     *
     * @param next the behaviour
     */
    public void behave(Behaviour next) {
        behaviour = next;
    }

    /** Makes the server cold, without warning; work that it has goes on slowly. */
    public void turnCold() {
        cold = true;
        coldSince = clock.millis();
        completedCold = 0;
        carriedIntoCold = running();
        batch.forEach(w -> w.inCold = false);
        queue.forEach(w -> w.inCold = false);
        cache.clear();
    }

    /** Returns whether the server is cold. */
    public boolean cold() {
        return cold;
    }

    /** Returns whether the server's host is gone. */
    public boolean dead() {
        return dead;
    }

    /** Returns how often the server got more than it could bear while cold. */
    public int overloads() {
        return overloads;
    }

    /** Returns how many of the overloads came when the server had been cold for two seconds. */
    public int lateOverloads() {
        return lateOverloads;
    }

    /** Returns the time that the engine was at work, in milliseconds. */
    public double busyMillis() {
        return busyMillis;
    }

    /** Returns the prompt tokens that were computed. */
    public double computedTokens() {
        return computedTokens;
    }

    /** Returns the tokens that were computed although some server had computed them before. */
    public double recomputedTokens() {
        return recomputedTokens;
    }

    /** Returns the requests at the server. */
    public int running() {
        return batch.size() + queue.size();
    }

    /** Takes the cache events that were not taken yet. */
    List<CacheEvent> takeEvents() {
        List<CacheEvent> taken = List.copyOf(events);
        events.clear();
        return taken;
    }

    /** Returns the load as it is now. */
    LoadReport report() {
        return new LoadReport(batch.size(), queue.size(), !cold, cache.size(), 0);
    }

    /** Ends the host and all work on it. */
    public void kill() {
        dead = true;
        breakAll();
    }

    private void breakAll() {
        List<Work> lost = new ArrayList<>(batch);
        lost.addAll(queue);
        batch.clear();
        queue.clear();
        lost.forEach(w -> w.listener.onEnd(AttemptEnd.BROKEN, -1));
    }

    void accept(Work work) {
        if (dead) {
            work.listener.onEnd(AttemptEnd.NOT_CONNECTED, -1);
            return;
        }
        if (cold && overloadedBy()) {
            overloads++;
            lateOverloads += clock.millis() - coldSince > NOTICED_MILLIS ? 1 : 0;
            queue.add(work);
            cache.clear();
            breakAll();
            completedCold = 0;
            return;
        }
        work.inCold = cold;
        queue.add(work);
        step();
    }

    /** Work that it had when it turned cold is not held against those who send; more work is. */
    private boolean overloadedBy() {
        carriedIntoCold = (int) Math.min(
                carriedIntoCold,
                batch.stream().filter(w -> !w.inCold).count()
                        + queue.stream().filter(w -> !w.inCold).count());
        return running() - carriedIntoCold >= coldConcurrency;
    }

    void cancel(Work work) {
        batch.remove(work);
        queue.remove(work);
    }

    private void step() {
        if (stepping || dead) {
            return;
        }
        while (!queue.isEmpty() && batch.size() < BATCH) {
            join(queue.remove());
        }
        if (batch.isEmpty() || behaviour.silent(alive())) {
            return;
        }
        stepping = true;
        double millis = stepMillis();
        busyMillis += millis;
        clock.after(millis, () -> {
            stepping = false;
            if (!dead) {
                endStep();
                step();
            }
        });
    }

    private double alive() {
        return clock.millis() - bornMillis;
    }

    private void join(Work work) {
        batch.add(work);
        if (work.plain()) {
            work.prefillLeft = PLAIN_MILLIS;
            return;
        }
        int blocks = work.facts.prefixBlocks().size();
        int depth = cache.depth(work.facts.prefixBlocks());
        double block = blocks == 0 ? 0 : (double) work.facts.promptTokens() / blocks;
        work.cachedTokens = (int) (depth * block);
        if (work.copied) {
            double copy = COPY_START_MILLIS + COPY_MILLIS_PER_TOKEN * work.facts.promptTokens();
            work.prefillLeft = copy / PREFILL_MILLIS_PER_TOKEN / 4;
            return;
        }
        work.prefillLeft = work.facts.promptTokens() - work.cachedTokens + work.resumedTokens;
        computedTokens += work.prefillLeft;
        recomputedTokens += work.resumedTokens;
        for (int i = depth; i < blocks; i++) {
            if (!everComputed.add(work.facts.prefixBlocks().get(i))) {
                recomputedTokens += block;
            }
        }
    }

    private double slowness() {
        return behaviour.slowness(batch.size(), alive()) * (cold ? COLD_SLOWNESS : 1);
    }

    private double stepMillis() {
        if (batch.get(0).plain()) {
            return STEP_MILLIS / 3;
        }
        double chunk = PREFILL_CHUNK_TOKENS;
        double prefill = 0;
        int decoding = 0;
        for (Work work : batch) {
            if (work.prefillLeft > 0) {
                double part = Math.min(chunk, work.prefillLeft);
                chunk -= part;
                prefill += part;
            } else {
                decoding++;
            }
        }
        double base = decoding > 0 ? STEP_MILLIS : 1;
        return (base + decoding * STEP_PER_REQUEST_MILLIS + prefill * PREFILL_MILLIS_PER_TOKEN) * slowness();
    }

    private void endStep() {
        double chunk = PREFILL_CHUNK_TOKENS;
        for (Work work : List.copyOf(batch)) {
            if (work.plain()) {
                double rate = PLAIN_MILLIS / (PLAIN_MILLIS + PLAIN_PER_REQUEST_MILLIS * batch.size()) / slowness();
                work.prefillLeft -= STEP_MILLIS / 3 * rate;
                if (work.prefillLeft <= 0) {
                    first(work);
                }
            } else if (work.prefillLeft > 0) {
                double part = Math.min(chunk, work.prefillLeft);
                chunk -= part;
                work.prefillLeft -= part;
                if (work.prefillLeft <= 0) {
                    first(work);
                }
            } else {
                token(work);
            }
        }
    }

    private void first(Work work) {
        if (!batch.contains(work)) {
            return;
        }
        if (random.nextDouble() < behaviour.failing(work.facts.route(), batch.size(), alive())) {
            batch.remove(work);
            work.listener.onEnd(AttemptEnd.SERVER_ERROR, -1);
            return;
        }
        List<Long> evicted = cache.store(work.facts.prefixBlocks());
        if (!work.plain()) {
            events.add(new CacheEvent(listed.id(), ++cacheSequence, work.facts.prefixBlocks(), evicted));
        }
        work.started = true;
        work.listener.onFirst();
        token(work);
    }

    private void token(Work work) {
        if (!batch.contains(work)) {
            return;
        }
        work.produced++;
        work.listener.onToken();
        if (work.produced >= work.answerTokens) {
            batch.remove(work);
            complete();
            work.listener.onEnd(AttemptEnd.ANSWERED, work.plain() ? -1 : work.cachedTokens);
        }
    }

    private void complete() {
        if (cold && ++completedCold >= WARM_AFTER_COMPLETED) {
            cold = false;
        }
    }
}
