package org.geraniumstand.proofs.trial;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Simulates the prefix cache of an engine: holds a limited number of blocks with least-recently-used eviction. */
final class PrefixCache {
    private final int capacity;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(64, 0.75f, true);

    PrefixCache(int capacity) {
        this.capacity = capacity;
    }

    /** Returns the number of leading blocks of a prompt that are cached. */
    int depth(List<Long> prefix) {
        int depth = 0;
        while (depth < prefix.size() && blocks.get(prefix.get(depth)) != null) {
            depth++;
        }
        return depth;
    }

    /** Stores blocks and returns the evicted blocks. */
    List<Long> store(List<Long> prefix) {
        prefix.forEach(block -> blocks.put(block, true));
        List<Long> evicted = new ArrayList<>();
        while (blocks.size() > capacity) {
            Long oldest = blocks.keySet().iterator().next();
            blocks.remove(oldest);
            evicted.add(oldest);
        }
        return evicted;
    }

    void clear() {
        blocks.clear();
    }

    int size() {
        return blocks.size();
    }
}
