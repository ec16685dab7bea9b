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
 * Simulates a backend server.
 *
 * <p>An engine works in steps: each step computes a chunk of the waiting prompts and one token of each running answer,
 * so the time per token grows with the batch. The engine caches prompt prefixes in limited memory. A cold engine is
 * several times slower and breaks all its attempts when it receives more requests than its cold concurrency; it becomes
 * warm by completing requests. A plain service answers after a time that grows with the number of concurrent requests.
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
    private static final double COLD_SLOWDOWN = 5;
    private static final int WARM_AFTER_COMPLETED = 4;
    private static final double COLD_DETECTION_MILLIS = 2_000;
    private static final int MAX_BATCH = 24;
    private static final int CACHE_BLOCKS = 400;

    private final VirtualClock clock;
    private final Random random;
    private final Set<Long> computedBlocks;
    private final Deque<ServerAttempt> queue = new ArrayDeque<>();
    private final List<ServerAttempt> batch = new ArrayList<>();
    private final PrefixCache cache = new PrefixCache(CACHE_BLOCKS);
    private final double startMillis;
    private final List<CacheEvent> events = new ArrayList<>();
    private BackendServer listed;
    private Behaviour behaviour;
    private int coldConcurrency;
    private boolean cold;
    private boolean terminated;
    private boolean stepping;
    private int completedCold;
    private int runningBeforeCold;
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
            Set<Long> computedBlocks,
            BackendServer listed,
            Behaviour behaviour,
            int coldConcurrency) {
        this.clock = clock;
        this.random = random;
        this.computedBlocks = computedBlocks;
        this.listed = listed;
        this.behaviour = behaviour;
        this.coldConcurrency = coldConcurrency;
        this.startMillis = clock.millis();
    }

    /** Returns the server as the platform lists it. */
    public BackendServer listed() {
        return listed;
    }

    /**
     * Replaces the listing of the server on the platform.
     *
     * @param next new listing of the server
     */
    public void setListed(BackendServer next) {
        listed = next;
    }

    /**
     * Replaces the behaviour of the server.
     *
     * @param next new behaviour
     */
    public void setBehaviour(Behaviour next) {
        behaviour = next;
    }

    /** Makes the server cold without notice; requests in progress continue at the cold speed. */
    public void becomeCold() {
        cold = true;
        coldSince = clock.millis();
        completedCold = 0;
        runningBeforeCold = running();
        batch.forEach(each -> each.acceptedCold = false);
        queue.forEach(each -> each.acceptedCold = false);
        cache.clear();
    }

    /** Returns whether the server is cold. */
    public boolean cold() {
        return cold;
    }

    /** Returns whether the server's host was terminated. */
    public boolean terminated() {
        return terminated;
    }

    /** Returns the number of requests beyond the cold concurrency that the server received while cold. */
    public int overloads() {
        return overloads;
    }

    /** Returns the number of overloads after the server had been cold for more than two seconds. */
    public int lateOverloads() {
        return lateOverloads;
    }

    /** Returns the time that the engine spent computing steps, in milliseconds. */
    public double busyMillis() {
        return busyMillis;
    }

    /** Returns the number of prompt tokens that the server computed. */
    public double computedTokens() {
        return computedTokens;
    }

    /** Returns the number of tokens that the server computed although a server had computed them before. */
    public double recomputedTokens() {
        return recomputedTokens;
    }

    /** Returns the number of running and queued requests. */
    public int running() {
        return batch.size() + queue.size();
    }

    /** Removes and returns the pending cache events. */
    List<CacheEvent> takeEvents() {
        List<CacheEvent> taken = List.copyOf(events);
        events.clear();
        return taken;
    }

    /** Returns the current load. */
    LoadReport report() {
        return new LoadReport(batch.size(), queue.size(), !cold, cache.size(), 0);
    }

    /** Terminates the host and breaks all its attempts. */
    public void terminate() {
        terminated = true;
        breakAllAttempts();
    }

    private void breakAllAttempts() {
        List<ServerAttempt> lost = new ArrayList<>(batch);
        lost.addAll(queue);
        batch.clear();
        queue.clear();
        lost.forEach(each -> each.listener.onEnd(AttemptEnd.BROKEN, -1));
    }

    void accept(ServerAttempt serverAttempt) {
        if (terminated) {
            serverAttempt.listener.onEnd(AttemptEnd.NOT_CONNECTED, -1);
            return;
        }
        if (cold && wouldOverload()) {
            overloads++;
            lateOverloads += clock.millis() - coldSince > COLD_DETECTION_MILLIS ? 1 : 0;
            queue.add(serverAttempt);
            cache.clear();
            breakAllAttempts();
            completedCold = 0;
            return;
        }
        serverAttempt.acceptedCold = cold;
        queue.add(serverAttempt);
        step();
    }

    /** Returns whether one more request overloads the cold server; requests from before it became cold do not count. */
    private boolean wouldOverload() {
        runningBeforeCold = (int) Math.min(
                runningBeforeCold,
                batch.stream().filter(each -> !each.acceptedCold).count()
                        + queue.stream().filter(each -> !each.acceptedCold).count());
        return running() - runningBeforeCold >= coldConcurrency;
    }

    void cancel(ServerAttempt serverAttempt) {
        batch.remove(serverAttempt);
        queue.remove(serverAttempt);
    }

    private void step() {
        if (stepping || terminated) {
            return;
        }
        while (!queue.isEmpty() && batch.size() < MAX_BATCH) {
            admit(queue.remove());
        }
        if (batch.isEmpty() || behaviour.unresponsive(uptimeMillis())) {
            return;
        }
        stepping = true;
        double millis = stepMillis();
        busyMillis += millis;
        clock.after(millis, () -> {
            stepping = false;
            if (!terminated) {
                endStep();
                step();
            }
        });
    }

    private double uptimeMillis() {
        return clock.millis() - startMillis;
    }

    private void admit(ServerAttempt serverAttempt) {
        batch.add(serverAttempt);
        if (serverAttempt.plain()) {
            serverAttempt.prefillLeft = PLAIN_MILLIS;
            return;
        }
        int blocks = serverAttempt.requestInfo.prefixBlocks().size();
        int depth = cache.depth(serverAttempt.requestInfo.prefixBlocks());
        double block = blocks == 0 ? 0 : (double) serverAttempt.requestInfo.promptTokens() / blocks;
        serverAttempt.cachedTokens = (int) (depth * block);
        if (serverAttempt.kvCacheCopied) {
            double copy = COPY_START_MILLIS + COPY_MILLIS_PER_TOKEN * serverAttempt.requestInfo.promptTokens();
            serverAttempt.prefillLeft = copy / PREFILL_MILLIS_PER_TOKEN / 4;
            return;
        }
        serverAttempt.prefillLeft =
                serverAttempt.requestInfo.promptTokens() - serverAttempt.cachedTokens + serverAttempt.resumedTokens;
        computedTokens += serverAttempt.prefillLeft;
        recomputedTokens += serverAttempt.resumedTokens;
        for (int i = depth; i < blocks; i++) {
            if (!computedBlocks.add(serverAttempt.requestInfo.prefixBlocks().get(i))) {
                recomputedTokens += block;
            }
        }
    }

    private double slowdown() {
        return behaviour.slowdown(batch.size(), uptimeMillis()) * (cold ? COLD_SLOWDOWN : 1);
    }

    private double stepMillis() {
        if (batch.get(0).plain()) {
            return STEP_MILLIS / 3;
        }
        double chunk = PREFILL_CHUNK_TOKENS;
        double prefill = 0;
        int decoding = 0;
        for (ServerAttempt serverAttempt : batch) {
            if (serverAttempt.prefillLeft > 0) {
                double part = Math.min(chunk, serverAttempt.prefillLeft);
                chunk -= part;
                prefill += part;
            } else {
                decoding++;
            }
        }
        double base = decoding > 0 ? STEP_MILLIS : 1;
        return (base + decoding * STEP_PER_REQUEST_MILLIS + prefill * PREFILL_MILLIS_PER_TOKEN) * slowdown();
    }

    private void endStep() {
        double chunk = PREFILL_CHUNK_TOKENS;
        for (ServerAttempt serverAttempt : List.copyOf(batch)) {
            if (serverAttempt.plain()) {
                double rate = PLAIN_MILLIS / (PLAIN_MILLIS + PLAIN_PER_REQUEST_MILLIS * batch.size()) / slowdown();
                serverAttempt.prefillLeft -= STEP_MILLIS / 3 * rate;
                if (serverAttempt.prefillLeft <= 0) {
                    emitFirstToken(serverAttempt);
                }
            } else if (serverAttempt.prefillLeft > 0) {
                double part = Math.min(chunk, serverAttempt.prefillLeft);
                chunk -= part;
                serverAttempt.prefillLeft -= part;
                if (serverAttempt.prefillLeft <= 0) {
                    emitFirstToken(serverAttempt);
                }
            } else {
                emitToken(serverAttempt);
            }
        }
    }

    private void emitFirstToken(ServerAttempt serverAttempt) {
        if (!batch.contains(serverAttempt)) {
            return;
        }
        if (random.nextDouble() < behaviour.failing(serverAttempt.requestInfo.route(), batch.size(), uptimeMillis())) {
            batch.remove(serverAttempt);
            serverAttempt.listener.onEnd(AttemptEnd.SERVER_ERROR, -1);
            return;
        }
        List<Long> evicted = cache.store(serverAttempt.requestInfo.prefixBlocks());
        if (!serverAttempt.plain()) {
            events.add(new CacheEvent(listed.id(), ++cacheSequence, serverAttempt.requestInfo.prefixBlocks(), evicted));
        }
        serverAttempt.started = true;
        serverAttempt.listener.onFirstToken();
        emitToken(serverAttempt);
    }

    private void emitToken(ServerAttempt serverAttempt) {
        if (!batch.contains(serverAttempt)) {
            return;
        }
        serverAttempt.produced++;
        serverAttempt.listener.onToken();
        if (serverAttempt.produced >= serverAttempt.answerTokens) {
            batch.remove(serverAttempt);
            recordCompletion();
            serverAttempt.listener.onEnd(AttemptEnd.ANSWERED, serverAttempt.plain() ? -1 : serverAttempt.cachedTokens);
        }
    }

    private void recordCompletion() {
        if (cold && ++completedCold >= WARM_AFTER_COMPLETED) {
            cold = false;
        }
    }
}
