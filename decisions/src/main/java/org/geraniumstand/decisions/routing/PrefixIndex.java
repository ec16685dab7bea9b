package org.geraniumstand.decisions.routing;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.geraniumstand.model.fleet.CacheEvent;

/**
 * Indexes the prefix blocks that backend servers are expected to hold in their prefix caches.
 *
 * <p>Cache events are delayed and may be lost, so an entry is a prediction. An entry is added when a request is
 * dispatched to a server and by cache events; it is removed by cache events, by age and when the index is full. The
 * cached tokens that responses report determine how reliable the predictions for a server are, see
 * {@link ServerState#cacheTrust()}.
 */
public final class PrefixIndex {
    private static final int MAX_BLOCKS = 65_536;
    private static final int MAX_HOLDERS = 8;
    private static final long EXPIRY_MILLIS = 120_000;

    private final Map<Long, Holders> blocks = new LinkedHashMap<>(1024, 0.75f, true);

    /** Stores the servers that hold a block and when each was last seen; replaces the oldest one when full. */
    private static final class Holders {
        private int[] serverIndexes = new int[2];
        private long[] seenMillis = new long[2];
        private int size;

        private void put(int serverIndex, long millis) {
            for (int i = 0; i < size; i++) {
                if (serverIndexes[i] == serverIndex) {
                    seenMillis[i] = millis;
                    return;
                }
            }
            if (size == serverIndexes.length && size < MAX_HOLDERS) {
                serverIndexes = Arrays.copyOf(serverIndexes, size * 2);
                seenMillis = Arrays.copyOf(seenMillis, size * 2);
            }
            int position = size < serverIndexes.length ? size++ : oldest();
            serverIndexes[position] = serverIndex;
            seenMillis[position] = millis;
        }

        private int oldest() {
            int position = 0;
            for (int i = 1; i < size; i++) {
                if (seenMillis[i] < seenMillis[position]) {
                    position = i;
                }
            }
            return position;
        }

        private void remove(int serverIndex) {
            for (int i = 0; i < size; i++) {
                if (serverIndexes[i] == serverIndex) {
                    size--;
                    serverIndexes[i] = serverIndexes[size];
                    seenMillis[i] = seenMillis[size];
                    return;
                }
            }
        }
    }

    /**
     * Applies a cache event of a server.
     *
     * @param serverIndex the server's index
     * @param event the blocks that the server stored and evicted
     * @param nowMillis the current time, in milliseconds
     */
    public void onEvent(int serverIndex, CacheEvent event, long nowMillis) {
        event.evicted().forEach(block -> remove(serverIndex, block));
        recordStored(serverIndex, event.stored(), nowMillis);
    }

    /**
     * Records that a server holds blocks, or will hold them after it has processed a dispatched request.
     *
     * @param serverIndex the server's index
     * @param held the blocks
     * @param nowMillis the current time, in milliseconds
     */
    public void recordStored(int serverIndex, List<Long> held, long nowMillis) {
        for (Long block : held) {
            blocks.computeIfAbsent(block, _key -> new Holders()).put(serverIndex, nowMillis);
        }
        while (blocks.size() > MAX_BLOCKS) {
            blocks.remove(blocks.keySet().iterator().next());
        }
    }

    /**
     * Removes blocks that a server was predicted to hold but did not.
     *
     * @param serverIndex the server's index
     * @param missing the blocks
     */
    public void removeAll(int serverIndex, List<Long> missing) {
        missing.forEach(block -> remove(serverIndex, block));
    }

    private void remove(int serverIndex, Long block) {
        Holders holders = blocks.get(block);
        if (holders == null) {
            return;
        }
        holders.remove(serverIndex);
        if (holders.size == 0) {
            blocks.remove(block);
        }
    }

    /**
     * Finds the servers that hold a prefix of a prompt, and how many of its blocks each holds.
     *
     * @param prefix the prompt's blocks, the shortest prefix first
     * @param nowMillis the current time, in milliseconds
     * @param matches receives the servers and the number of blocks that each holds
     */
    public void find(List<Long> prefix, long nowMillis, Matches matches) {
        matches.clear();
        for (int i = prefix.size() - 1; i >= 0 && !matches.full(); i--) {
            Holders holders = blocks.get(prefix.get(i));
            if (holders == null) {
                continue;
            }
            for (int h = 0; h < holders.size; h++) {
                if (nowMillis - holders.seenMillis[h] < EXPIRY_MILLIS) {
                    matches.add(holders.serverIndexes[h], i + 1);
                }
            }
        }
    }

    /** Lists the servers that hold a prefix of a prompt; reused for each selection to avoid allocation. */
    public static final class Matches {
        private static final int MAX_MATCHES = 16;

        private final int[] serverIndexes = new int[MAX_MATCHES];
        private final int[] depths = new int[MAX_MATCHES];
        private int size;

        private void clear() {
            size = 0;
        }

        private boolean full() {
            return size == MAX_MATCHES;
        }

        private void add(int serverIndex, int depth) {
            if (size < MAX_MATCHES && depthOf(serverIndex) == 0) {
                serverIndexes[size] = serverIndex;
                depths[size] = depth;
                size++;
            }
        }

        /**
         * Returns the number of leading blocks that a server holds, 0 if it is not among the matches.
         *
         * @param serverIndex the server's index
         */
        public int depthOf(int serverIndex) {
            for (int i = 0; i < size; i++) {
                if (serverIndexes[i] == serverIndex) {
                    return depths[i];
                }
            }
            return 0;
        }

        /** Returns the number of matching servers. */
        public int size() {
            return size;
        }

        /**
         * Returns the index of a matching server; matches are sorted by descending number of blocks held.
         *
         * @param position position in the list of matches, from 0
         */
        public int serverIndex(int position) {
            return serverIndexes[position];
        }
    }
}
