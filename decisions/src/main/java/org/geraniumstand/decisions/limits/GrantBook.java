package org.geraniumstand.decisions.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.limits.Grant;
import org.geraniumstand.model.time.Moment;

/**
 * The grants that this process holds.
 *
 * <p>A grant holds from its receipt. A process that was paused may read grants that lay in its buffers for long, so
 * after a pause it drops what it has and trusts none that arrives before the buffers must be empty.
 */
@Decision(
        name = "grant-held",
        summary = "A process uses a server within its grant; without one it keeps to one request at a warm server and"
                + " none at a cold one.")
public final class GrantBook {
    /** Requests that a process may have at a warm server without a grant. */
    public static final int FLOOR = 1;

    private static final int PAUSE_MILLIS = 400;
    private static final int DISTRUST_MILLIS = 300;
    private static final int DROP_MILLIS = 500;

    private final Map<ServerId, Held> held = new HashMap<>();
    private final Map<ServerId, Moment> dropped = new HashMap<>();
    private Moment last;
    private Moment resumed;

    private record Held(int concurrency, boolean warm, Moment from, long validMillis) {}

    /**
     * Lets time pass; must be called for every observation, so that a pause of the process shows.
     *
     * @param now the time
     */
    public void onTime(Moment now) {
        if (last != null && now.millisSince(last) > PAUSE_MILLIS) {
            held.replaceAll((_key, grant) -> new Held(0, grant.warm(), grant.from(), 0));
            resumed = now;
        }
        last = now;
    }

    /**
     * Takes in grants.
     *
     * @param grants the grants
     * @param now the time
     */
    public void onGrants(List<Grant> grants, Moment now) {
        if (resumed != null && now.millisSince(resumed) < DISTRUST_MILLIS) {
            return;
        }
        for (Grant grant : grants) {
            long valid = Math.min(grant.validMillis(), GrantLedger.VALID_MILLIS);
            held.put(grant.server(), new Held(grant.concurrency(), grant.warm(), now, valid));
        }
    }

    /**
     * Gives up the grant of a server that seems to be cold again.
     *
     * @param server the server
     * @param now the time
     */
    public void drop(ServerId server, Moment now) {
        held.remove(server);
        dropped.put(server, now);
    }

    /**
     * Returns how many requests this process may have at a server.
     *
     * @param server the server
     * @param now the time
     */
    public int concurrency(ServerId server, Moment now) {
        Held grant = held.get(server);
        if (grant == null || lately(server, now)) {
            return 0;
        }
        if (now.millisSince(grant.from()) < grant.validMillis()) {
            return grant.concurrency();
        }
        return grant.warm() ? FLOOR : 0;
    }

    private boolean lately(ServerId server, Moment now) {
        Moment since = dropped.get(server);
        return since != null && now.millisSince(since) < DROP_MILLIS;
    }

    /**
     * Returns whether the keeper has said anything about a server.
     *
     * @param server the server
     */
    public boolean knows(ServerId server) {
        return held.containsKey(server);
    }

    /**
     * Returns whether the keeper said last that a server is warm.
     *
     * @param server the server
     */
    public boolean warm(ServerId server) {
        Held grant = held.get(server);
        return grant != null && grant.warm();
    }

    /**
     * Forgets servers that are gone.
     *
     * @param listed servers that are there
     */
    public void retain(Set<ServerId> listed) {
        held.keySet().retainAll(listed);
        dropped.keySet().retainAll(listed);
    }
}
