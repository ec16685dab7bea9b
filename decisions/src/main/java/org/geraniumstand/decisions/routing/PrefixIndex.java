package org.geraniumstand.decisions.routing;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.geraniumstand.model.fleet.CacheEvent;

/**
 * Which backend servers are believed to hold which prefix blocks in their caches.
 *
 * <p>Cache events come late and with gaps, so an entry is a belief: it is written when a request goes to a server, and
 * by events; it is dropped by events, by age and when memory runs out. What answers report as cached sets how far the
 * beliefs about a server are trusted, see {@link ServerState#cacheTrust()}.
 */
public final class PrefixIndex {
    private static final int MAX_BLOCKS = 65_536;
    private static final int MAX_HOLDERS = 8;
    private static final long USEFUL_MILLIS = 120_000;

    private final Map<Long, Holders> blocks = new LinkedHashMap<>(1024, 0.75f, true);

    /** The holders of a block and when each was seen last; the oldest is replaced when the array is full. */
    private static final class Holders {
        private int[] slots = new int[2];
        private long[] seenMillis = new long[2];
        private int size;

        private void put(int slot, long millis) {
            for (int i = 0; i < size; i++) {
                if (slots[i] == slot) {
                    seenMillis[i] = millis;
                    return;
                }
            }
            if (size == slots.length && size < MAX_HOLDERS) {
                slots = Arrays.copyOf(slots, size * 2);
                seenMillis = Arrays.copyOf(seenMillis, size * 2);
            }
            int at = size < slots.length ? size++ : oldest();
            slots[at] = slot;
            seenMillis[at] = millis;
        }

        private int oldest() {
            int at = 0;
            for (int i = 1; i < size; i++) {
                if (seenMillis[i] < seenMillis[at]) {
                    at = i;
                }
            }
            return at;
        }

        private void remove(int slot) {
            for (int i = 0; i < size; i++) {
                if (slots[i] == slot) {
                    size--;
                    slots[i] = slots[size];
                    seenMillis[i] = seenMillis[size];
                    return;
                }
            }
        }
    }

    /**
     * Takes in an event of a server's cache.
     *
     * @param slot the server
     * @param event what changed
     * @param nowMillis the time, in milliseconds
     */
    public void onEvent(int slot, CacheEvent event, long nowMillis) {
        event.evicted().forEach(block -> forget(slot, block));
        stored(slot, event.stored(), nowMillis);
    }

    /**
     * Notes that a server holds blocks, or will when it has worked on a request.
     *
     * @param slot the server
     * @param held the blocks
     * @param nowMillis the time, in milliseconds
     */
    public void stored(int slot, List<Long> held, long nowMillis) {
        for (Long block : held) {
            blocks.computeIfAbsent(block, _key -> new Holders()).put(slot, nowMillis);
        }
        while (blocks.size() > MAX_BLOCKS) {
            blocks.remove(blocks.keySet().iterator().next());
        }
    }

    /**
     * Notes that a server did not hold blocks that were expected there.
     *
     * @param slot the server
     * @param missing the blocks
     */
    public void missing(int slot, List<Long> missing) {
        missing.forEach(block -> forget(slot, block));
    }

    private void forget(int slot, Long block) {
        Holders holders = blocks.get(block);
        if (holders == null) {
            return;
        }
        holders.remove(slot);
        if (holders.size == 0) {
            blocks.remove(block);
        }
    }

    /**
     * Finds how much of a prompt each server holds.
     *
     * @param prefix the prompt's blocks, the shortest prefix first
     * @param nowMillis the time, in milliseconds
     * @param found filled with the servers and the blocks that they hold
     */
    public void find(List<Long> prefix, long nowMillis, Found found) {
        found.clear();
        for (int i = prefix.size() - 1; i >= 0 && !found.full(); i--) {
            Holders holders = blocks.get(prefix.get(i));
            if (holders == null) {
                continue;
            }
            for (int h = 0; h < holders.size; h++) {
                if (nowMillis - holders.seenMillis[h] < USEFUL_MILLIS) {
                    found.add(holders.slots[h], i + 1);
                }
            }
        }
    }

    /** Servers that hold a part of a prompt; used again for each choice, so that a choice makes no garbage. */
    public static final class Found {
        private static final int MOST = 16;

        private final int[] slots = new int[MOST];
        private final int[] depths = new int[MOST];
        private int size;

        private void clear() {
            size = 0;
        }

        private boolean full() {
            return size == MOST;
        }

        private void add(int slot, int depth) {
            if (size < MOST && depthOf(slot) == 0) {
                slots[size] = slot;
                depths[size] = depth;
                size++;
            }
        }

        /**
         * Returns how many blocks a server holds.
         *
         * @param slot the server
         */
        public int depthOf(int slot) {
            for (int i = 0; i < size; i++) {
                if (slots[i] == slot) {
                    return depths[i];
                }
            }
            return 0;
        }

        /** Returns how many servers were found. */
        public int size() {
            return size;
        }

        /**
         * Returns a server that was found, those that hold most in front.
         *
         * @param index from 0
         */
        public int slot(int index) {
            return slots[index];
        }
    }
}
