package org.geraniumstand.decisions.moves;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.time.Moment;

/** Decides whether a backend server counts as warm, so that a cold start is not taken for a slow version. */
@Decision(
        name = "server-warmth",
        summary = "A server is warm when its keeper says so, or without word of it a minute after its first answer.")
final class ServerWarmth {
    private static final long WARM_UP_MILLIS = 60_000;

    private final Map<ServerId, Word> told = new HashMap<>();
    private final Map<ServerId, Moment> firstAnswer = new HashMap<>();

    private record Word(boolean warm, Moment since) {}

    /**
     * Takes in what the keeper says.
     *
     * @param server the backend server
     * @param warm whether it is warm
     * @param now the time
     */
    void tell(ServerId server, boolean warm, Moment now) {
        Word last = told.get(server);
        if (last == null || last.warm() != warm) {
            told.put(server, new Word(warm, now));
        }
    }

    /**
     * Takes in that a server answered.
     *
     * @param server the backend server
     * @param now the time
     */
    void answered(ServerId server, Moment now) {
        firstAnswer.putIfAbsent(server, now);
    }

    /**
     * Forgets servers that are no longer listed.
     *
     * @param listed the servers that are
     */
    void retain(Set<ServerId> listed) {
        told.keySet().retainAll(listed);
        firstAnswer.keySet().retainAll(listed);
    }

    /**
     * Tells whether a server is warm.
     *
     * @param server the backend server
     * @param now the time
     */
    boolean isWarm(ServerId server, Moment now) {
        return wasWarm(server, 0, now);
    }

    /**
     * Tells whether a server has been warm for some time; an attempt that began on a cold server says nothing about
     * the version.
     *
     * @param server the backend server
     * @param millis the time in milliseconds
     * @param now the time
     */
    boolean wasWarm(ServerId server, long millis, Moment now) {
        Word word = told.get(server);
        if (word != null) {
            return word.warm() && now.millisSince(word.since()) >= millis;
        }
        Moment first = firstAnswer.get(server);
        return first != null && now.millisSince(first) >= WARM_UP_MILLIS + millis;
    }
}
