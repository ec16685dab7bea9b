package org.geraniumstand.standins;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A prefix cache with limited memory that evicts what was used least lately; thread-safe. */
final class PrefixCache {
    private static final int BLOCK_TOKENS = 64;
    private static final int MAX_EVENTS = 1_000;

    private final Switches<EngineSwitch> switches;
    private final LinkedHashSet<Long> blocks = new LinkedHashSet<>();
    private final List<Published> events = new ArrayList<>();
    private long sequence;

    /** One change of the cache, as {@code GET /cache-events} lists it. */
    record Event(long sequence, List<Long> stored, List<Long> evicted) {}

    /** Blocks that one engine exports and another imports. */
    record Exported(List<Long> blocks) {}

    private record Published(Event event, long atMillis) {}

    PrefixCache(Switches<EngineSwitch> switches) {
        this.switches = switches;
    }

    /** Uses the cache for a prompt and returns how many of its tokens were cached. */
    synchronized int use(CompletionText text) {
        List<Long> wanted = text.blocks();
        int hits = 0;
        while (hits < wanted.size() && blocks.contains(wanted.get(hits))) {
            hits++;
        }
        store(wanted);
        return hits * BLOCK_TOKENS;
    }

    synchronized Exported export(CompletionText text) {
        return new Exported(text.blocks().stream().filter(blocks::contains).toList());
    }

    synchronized void take(Exported exported) {
        store(exported.blocks());
    }

    synchronized long tokens() {
        return (long) blocks.size() * BLOCK_TOKENS;
    }

    synchronized List<Event> eventsAfter(long known) {
        long due = now() - switches.number(EngineSwitch.EVENT_LAG_MILLIS);
        return events.stream()
                .filter(published -> published.atMillis() <= due)
                .map(Published::event)
                .filter(event -> event.sequence() > known)
                .toList();
    }

    private void store(List<Long> wanted) {
        long room = switches.number(EngineSwitch.CACHE_TOKENS) / BLOCK_TOKENS;
        List<Long> stored = new ArrayList<>();
        List<Long> evicted = new ArrayList<>();
        for (Long block : wanted) {
            if (!blocks.remove(block)) {
                stored.add(block);
            }
            blocks.add(block);
        }
        while (blocks.size() > room) {
            Long oldest = blocks.iterator().next();
            blocks.remove(oldest);
            evicted.add(oldest);
        }
        stored.retainAll(blocks);
        if (!stored.isEmpty() || !evicted.isEmpty()) {
            publish(stored, evicted);
        }
    }

    private void publish(List<Long> stored, List<Long> evicted) {
        sequence++;
        if (!switches.take(EngineSwitch.LOSE_EVENTS)) {
            events.add(new Published(new Event(sequence, stored, evicted), now()));
        }
        if (events.size() > MAX_EVENTS) {
            events.remove(0);
        }
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
