package org.geraniumstand.decisions.relay;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.decisions.Hash;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.PromptPart;
import org.geraniumstand.model.time.Timestamp;

/** Estimates which parts of a prompt a server has in its prefix cache. */
@Decision(
        name = "prompt-homes",
        summary = "A server is expected to have cached the prompt parts that this process recently sent to "
                + "it, and with some probability those for which it is the preferred server by hash.")
public final class PrefixCacheEstimate {
    /** Milliseconds for which a part counts as cached; caches are large, but other processes fill them too. */
    private static final long RETENTION_MILLIS = 20_000;

    /** Maximum number of parts to track; several times the number in use in the largest deployment. */
    private static final int MAX_PARTS = 20_000;

    /** Probability that the preferred server of a prompt has cached a part that this process did not send to it. */
    private static final double PREFERRED_HIT_PROBABILITY = 0.7;

    private final Map<Long, Map<ServerId, Long>> cachedNanos = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Map<ServerId, Long>> _eldest) {
            return size() > MAX_PARTS;
        }
    };

    /** Creates an estimate without history. */
    public PrefixCacheEstimate() {}

    /**
     * Records that a server receives a prompt.
     *
     * @param prompt the parts of the prompt, in order
     * @param server the server that the prompt is sent to
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onSent(List<PromptPart> prompt, ServerId server, long nowNanos) {
        for (PromptPart part : prompt) {
            cachedNanos.computeIfAbsent(part.id(), _key -> new HashMap<>()).put(server, nowNanos);
        }
    }

    /**
     * Returns the expected number of prompt tokens that a server has to process because they are not cached.
     *
     * @param prompt the prompt's parts; a part counts as cached only if all parts before it are
     * @param promptTokens number of tokens of the whole prompt
     * @param server the server to estimate for
     * @param preferred whether the server is the preferred one for the prompt
     * @param nowNanos the monotonic time in nanoseconds
     */
    public double uncachedTokens(
            List<PromptPart> prompt, int promptTokens, ServerId server, boolean preferred, long nowNanos) {
        double cachedTokens = 0;
        double hitProbability = 1;
        int lastIndex = prompt.size() - 1;
        for (int i = 0; i <= lastIndex; i++) {
            PromptPart part = prompt.get(i);
            Map<ServerId, Long> cachedNanosByServer = cachedNanos.get(part.id());
            Long lastCachedNanos = cachedNanosByServer == null ? null : cachedNanosByServer.get(server);
            boolean recent = lastCachedNanos != null
                    && nowNanos - lastCachedNanos < RETENTION_MILLIS * Timestamp.NANOS_PER_MILLI;
            if (!recent) {
                hitProbability *= i < lastIndex && preferred ? PREFERRED_HIT_PROBABILITY : 0;
            }
            cachedTokens += hitProbability * part.tokens();
        }
        return Math.max(0, promptTokens - cachedTokens);
    }

    /**
     * Returns the part that selects the preferred server of a prompt: the last one shared with other prompts.
     *
     * @param prompt the parts of the prompt, in order
     */
    public static long affinityKey(List<PromptPart> prompt) {
        int lastIndex = Math.max(0, prompt.size() - 2);
        return prompt.isEmpty() ? 0 : prompt.get(lastIndex).id();
    }

    /**
     * Returns the rendezvous weight of a server for a prompt; the server with the highest weight is preferred.
     *
     * @param key the part that selects the preferred server
     * @param serverHash hash of the server's id
     */
    public static long affinityWeight(long key, long serverHash) {
        return Hash.mix(Hash.mix(key) ^ serverHash);
    }
}
