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
public final class PromptHomes {
    /** Milliseconds for which a part counts as kept; caches are large, but other processes fill them too. */
    private static final long KEPT_MILLIS = 20_000;

    /** Parts that are remembered; a few times those in use at the largest deployment. */
    private static final int PARTS = 20_000;

    /** Chance that the home of a part holds it though this process did not send it there. */
    private static final double HOME_CHANCE = 0.7;

    private final Map<Long, Map<ServerId, Long>> readAt = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Map<ServerId, Long>> _eldest) {
            return size() > PARTS;
        }
    };

    /** Creates an estimate without memory. */
    public PromptHomes() {}

    /**
     * Notes that a server reads a prompt.
     *
     * @param prompt the prompt's parts
     * @param server the server
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onSent(List<PromptPart> prompt, ServerId server, long nowNanos) {
        for (PromptPart part : prompt) {
            readAt.computeIfAbsent(part.id(), _key -> new HashMap<>()).put(server, nowNanos);
        }
    }

    /**
     * Returns the tokens of a prompt that a server would have to read.
     *
     * @param prompt the prompt's parts; a part counts as held only if all before it are
     * @param promptTokens tokens of the whole prompt
     * @param server the server
     * @param home whether the server is the home of the prompt
     * @param nowNanos the monotonic time in nanoseconds
     */
    public double unread(List<PromptPart> prompt, int promptTokens, ServerId server, boolean home, long nowNanos) {
        double held = 0;
        double chance = 1;
        int last = prompt.size() - 1;
        for (int i = 0; i <= last; i++) {
            PromptPart part = prompt.get(i);
            Map<ServerId, Long> readers = readAt.get(part.id());
            Long at = readers == null ? null : readers.get(server);
            boolean known = at != null && nowNanos - at < KEPT_MILLIS * Moment.NANOS_PER_MILLI;
            if (!known) {
                chance *= i < last && home ? HOME_CHANCE : 0;
            }
            held += chance * part.tokens();
        }
        return Math.max(0, promptTokens - held);
    }

    /**
     * Returns the part of a prompt that names its home: the last one that other prompts share.
     *
     * @param prompt the prompt's parts
     */
    public static long homeKey(List<PromptPart> prompt) {
        int last = Math.max(0, prompt.size() - 2);
        return prompt.isEmpty() ? 0 : prompt.get(last).id();
    }

    /**
     * Returns the weight of a server as the home of a prompt; the highest is the home.
     *
     * @param key the part that names the home
     * @param serverHash hash of the server's name
     */
    public static long weight(long key, long serverHash) {
        return Hash.mix(Hash.mix(key) ^ serverHash);
    }
}
