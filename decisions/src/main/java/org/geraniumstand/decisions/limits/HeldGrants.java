package org.geraniumstand.decisions.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.limits.Grant;
import org.geraniumstand.model.time.Timestamp;

/**
 * Stores the grants that this process has received from the owners of backend servers.
 *
 * <p>A grant is valid from its receipt. A process that was paused may read grants that have been in its socket buffers
 * for a long time, so after a pause it discards the grants that it holds and ignores those that arrive until the
 * buffers must have been drained.
 */
@Decision(
        name = "grant-held",
        summary = "A process sends requests to a server only within its grant; after the grant has expired, it sends at"
                + " most one request at a time to a warm server and none to a cold server.")
public final class HeldGrants {
    /** Requests that a process may have in flight at a warm server after its grant has expired. */
    public static final int WARM_SERVER_MINIMUM = 1;

    private static final int MIN_PAUSE_MILLIS = 400;
    private static final int IGNORE_AFTER_PAUSE_MILLIS = 300;
    private static final int SUSPEND_AFTER_DROP_MILLIS = 500;

    private final Map<ServerId, HeldGrant> grants = new HashMap<>();
    private final Map<ServerId, Timestamp> droppedAt = new HashMap<>();
    private Timestamp lastObservedAt;
    private Timestamp resumedAt;

    private record HeldGrant(int concurrency, boolean warm, Timestamp receivedAt, long validMillis) {}

    /**
     * Updates the current time; must be called for every observation, so that a pause of the process is detected.
     *
     * @param now the current time
     */
    public void onTime(Timestamp now) {
        if (lastObservedAt != null && now.millisSince(lastObservedAt) > MIN_PAUSE_MILLIS) {
            grants.replaceAll((_key, grant) -> new HeldGrant(0, grant.warm(), grant.receivedAt(), 0));
            resumedAt = now;
        }
        lastObservedAt = now;
    }

    /**
     * Stores received grants; ignores them if the process has just resumed after a pause.
     *
     * @param received the grants
     * @param now the current time
     */
    public void onGrants(List<Grant> received, Timestamp now) {
        if (resumedAt != null && now.millisSince(resumedAt) < IGNORE_AFTER_PAUSE_MILLIS) {
            return;
        }
        for (Grant grant : received) {
            long validMillis = Math.min(grant.validMillis(), GrantAllocator.VALID_MILLIS);
            grants.put(grant.server(), new HeldGrant(grant.concurrency(), grant.warm(), now, validMillis));
        }
    }

    /**
     * Discards the grant of a server that is suspected to be cold again, and suspends new requests to it for a short
     * time.
     *
     * @param server the server
     * @param now the current time
     */
    public void drop(ServerId server, Timestamp now) {
        grants.remove(server);
        droppedAt.put(server, now);
    }

    /**
     * Returns how many requests this process may have in flight at a server.
     *
     * @param server the server
     * @param now the current time
     */
    public int concurrency(ServerId server, Timestamp now) {
        HeldGrant grant = grants.get(server);
        if (grant == null || recentlyDropped(server, now)) {
            return 0;
        }
        if (now.millisSince(grant.receivedAt()) < grant.validMillis()) {
            return grant.concurrency();
        }
        return grant.warm() ? WARM_SERVER_MINIMUM : 0;
    }

    private boolean recentlyDropped(ServerId server, Timestamp now) {
        Timestamp since = droppedAt.get(server);
        return since != null && now.millisSince(since) < SUSPEND_AFTER_DROP_MILLIS;
    }

    /**
     * Returns whether a grant of a server is stored, valid or expired.
     *
     * @param server the server
     */
    public boolean contains(ServerId server) {
        return grants.containsKey(server);
    }

    /**
     * Returns whether the latest grant of a server states that the server is warm.
     *
     * @param server the server
     */
    public boolean warm(ServerId server) {
        HeldGrant grant = grants.get(server);
        return grant != null && grant.warm();
    }

    /**
     * Removes the grants of servers that are no longer listed.
     *
     * @param listed servers that are listed
     */
    public void retain(Set<ServerId> listed) {
        grants.keySet().retainAll(listed);
        droppedAt.keySet().retainAll(listed);
    }
}
