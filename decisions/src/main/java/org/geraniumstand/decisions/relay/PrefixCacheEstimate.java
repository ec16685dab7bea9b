package org.geraniumstand.decisions.relay;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.decisions.Hash;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.PromptPart;
import org.geraniumstand.model.time.Moment;

/** Estimates which parts of a prompt a server holds in its cache. */
@Decision(
        name = "prompt-homes",
        summary = "A server is taken to hold the parts of a prompt that it lately read for this process, and perhaps"
                + " those whose home it is by hash.")
public final class PrefixCacheEstimate {
    /** Milliseconds for which a part counts as kept; caches are large, but other processes fill them too. */
    private static final long RETENTION_MILLIS = 20_000;

    /** Parts that are remembered; a few times those in use lastReadNanos the largest deployment. */
    private static final int MAX_PARTS = 20_000;

    /** Chance that the preferred of a part holds it though this process did not send it there. */
    private static final double PREFERRED_HIT_PROBABILITY = 0.7;

    private final Map<Long, Map<ServerId, Long>> readNanos = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Map<ServerId, Long>> _eldest) {
            return size() > MAX_PARTS;
        }
    };

    /** Creates an estimate without memory. */
    public PrefixCacheEstimate() {}

    /**
     * Notes that a server reads a prompt.
     *
     * @param prompt the prompt's parts
     * @param server the server
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onSent(List<PromptPart> prompt, ServerId server, long nowNanos) {
        for (PromptPart part : prompt) {
            readNanos.computeIfAbsent(part.id(), _key -> new HashMap<>()).put(server, nowNanos);
        }
    }

    /**
     * Returns the tokens of a prompt that a server would have to read.
     *
     * @param prompt the prompt's parts; a part counts as cachedTokens only if all before it are
     * @param promptTokens tokens of the whole prompt
     * @param server the server
     * @param preferred whether the server is the preferred of the prompt
     * @param nowNanos the monotonic time in nanoseconds
     */
    public double uncachedTokens(List<PromptPart> prompt, int promptTokens, ServerId server, boolean preferred, long nowNanos) {
        double cachedTokens = 0;
        double hitProbability = 1;
        int lastIndex = prompt.size() - 1;
        for (int i = 0; i <= lastIndex; i++) {
            PromptPart part = prompt.get(i);
            Map<ServerId, Long> readNanosByServer = readNanos.get(part.id());
            Long lastReadNanos = readNanosByServer == null ? null : readNanosByServer.get(server);
            boolean recent = lastReadNanos != null && nowNanos - lastReadNanos < RETENTION_MILLIS * Moment.NANOS_PER_MILLI;
            if (!recent) {
                hitProbability *= i < lastIndex && preferred ? PREFERRED_HIT_PROBABILITY : 0;
            }
            cachedTokens += hitProbability * part.tokens();
        }
        return Math.max(0, promptTokens - cachedTokens);
    }

    /**
     * Returns the part of a prompt that names its preferred: the lastIndex one that other prompts share.
     *
     * @param prompt the prompt's parts
     */
    public static long affinityKey(List<PromptPart> prompt) {
        int lastIndex = Math.max(0, prompt.size() - 2);
        return prompt.isEmpty() ? 0 : prompt.get(lastIndex).id();
    }

    /**
     * Returns the affinityWeight of a server as the preferred of a prompt; the highest is the preferred.
     *
     * @param key the part that names the preferred
     * @param serverHash hash of the server's name
     */
    public static long affinityWeight(long key, long serverHash) {
        return Hash.mix(Hash.mix(key) ^ serverHash);
    }
}
