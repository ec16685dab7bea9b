package org.geraniumstand.standins;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Simulates a prefix cache of limited capacity with least-recently-used eviction; thread-safe. */
final class PrefixCache {
    private static final int BLOCK_TOKENS = 64;
    private static final int MAX_EVENTS = 1_000;

    private final Switches<EngineSwitch> switches;
    private final LinkedHashSet<Long> blocks = new LinkedHashSet<>();
    private final List<PublishedEvent> events = new ArrayList<>();
    private long sequence;

    /** Describes one change of the cache, as {@code GET /cache-events} returns it. */
    record Event(long sequence, List<Long> stored, List<Long> evicted) {}

    /** Holds the blocks that one engine exports and another imports. */
    record ExportedBlocks(List<Long> blocks) {}

    private record PublishedEvent(Event event, long atMillis) {}

    PrefixCache(Switches<EngineSwitch> switches) {
        this.switches = switches;
    }

    /** Stores the blocks of a prompt and returns the number of its tokens that were already cached. */
    synchronized int lookUpAndStore(CompletionText prompt) {
        List<Long> prefixBlocks = prompt.prefixBlocks();
        int hits = 0;
        while (hits < prefixBlocks.size() && blocks.contains(prefixBlocks.get(hits))) {
            hits++;
        }
        store(prefixBlocks);
        return hits * BLOCK_TOKENS;
    }

    synchronized ExportedBlocks exportBlocks(CompletionText prompt) {
        return new ExportedBlocks(
                prompt.prefixBlocks().stream().filter(blocks::contains).toList());
    }

    synchronized void importBlocks(ExportedBlocks exported) {
        store(exported.blocks());
    }

    synchronized long cachedTokens() {
        return (long) blocks.size() * BLOCK_TOKENS;
    }

    synchronized List<Event> eventsAfter(long afterSequence) {
        long cutoffMillis = now() - switches.number(EngineSwitch.EVENT_LAG_MILLIS);
        return events.stream()
                .filter(published -> published.atMillis() <= cutoffMillis)
                .map(PublishedEvent::event)
                .filter(event -> event.sequence() > afterSequence)
                .toList();
    }

    private void store(List<Long> prefixBlocks) {
        long capacityBlocks = switches.number(EngineSwitch.CACHE_TOKENS) / BLOCK_TOKENS;
        List<Long> stored = new ArrayList<>();
        List<Long> evicted = new ArrayList<>();
        for (Long block : prefixBlocks) {
            if (!blocks.remove(block)) {
                stored.add(block);
            }
            blocks.add(block);
        }
        while (blocks.size() > capacityBlocks) {
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
        if (!switches.applies(EngineSwitch.LOSE_EVENTS)) {
            events.add(new PublishedEvent(new Event(sequence, stored, evicted), now()));
        }
        if (events.size() > MAX_EVENTS) {
            events.remove(0);
        }
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
