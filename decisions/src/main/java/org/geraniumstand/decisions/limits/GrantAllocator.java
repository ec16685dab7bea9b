package org.geraniumstand.decisions.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.limits.Demand;
import org.geraniumstand.model.limits.Grant;
import org.geraniumstand.model.time.Timestamp;

/**
 * Allocates the concurrency of one backend server to the processes that use it.
 *
 * <p>A grant counts as used from when it is sent until its holder must have stopped using it, including a margin for
 * message delay. A smaller grant that follows does not free the difference before that, because it may not have
 * arrived. So the sum of what all holders may use never exceeds the budget at the time when the grants were sent.
 */
@Decision(
        name = "grant-shares",
        summary = "A server's owner grants the concurrency in use, then the concurrency demanded, then equal shares of"
                + " most of the rest, and never more than the budget.")
public final class GrantAllocator {
    /** How long a grant is valid after its receipt, in milliseconds. */
    public static final int VALID_MILLIS = 900;

    /** Margin for message delay by which the owner counts a grant longer than it is valid, in milliseconds. */
    public static final int MARGIN_MILLIS = 600;

    /** Time after sending at which a grant, including one of a previous owner, has expired, in milliseconds. */
    public static final int EXPIRY_MILLIS = VALID_MILLIS + MARGIN_MILLIS;

    private static final int RENEW_MILLIS = 300;
    private static final double SPARE_GRANT_SHARE = 0.75;
    private static final int HOLDER_EXPIRY_MILLIS = 3_000;

    private final ServerId server;
    private final ProcessId owner;
    private final Map<ProcessId, Holder> holders = new TreeMap<>();

    /** Tracks the demand and the grants of one process. Mutable and not thread-safe. */
    private static final class Holder {
        private Demand demand;
        private Timestamp demandedAt;
        private int granted;
        private boolean grantedWarm;
        private boolean awaitsReply;
        private Timestamp grantedAt;
        private final List<SentGrant> unexpired = new ArrayList<>();

        private int maxUse(Timestamp now) {
            unexpired.removeIf(s -> now.millisSince(s.sentAt()) >= EXPIRY_MILLIS);
            int maximum = demand.inFlight();
            for (SentGrant grant : unexpired) {
                maximum = Math.max(maximum, grant.concurrency());
            }
            return maximum;
        }
    }

    private record SentGrant(int concurrency, Timestamp sentAt) {}

    /**
     * Creates the allocator of a server.
     *
     * @param server the server
     * @param owner the process that owns the server
     */
    public GrantAllocator(ServerId server, ProcessId owner) {
        this.server = server;
        this.owner = owner;
    }

    /**
     * Records the demand of a process.
     *
     * @param demand the demand
     * @param now the current time
     * @return how many of the process's requests at the server ended since its previous demand
     */
    public int onDemand(Demand demand, Timestamp now) {
        Holder holder = holders.computeIfAbsent(demand.process(), _key -> new Holder());
        int before = holder.demand == null ? 0 : holder.demand.inFlight();
        holder.demand = demand;
        holder.awaitsReply = demand.requested() > demand.inFlight();
        holder.demandedAt = now;
        return Math.max(0, before - demand.inFlight());
    }

    /**
     * Returns the maximum number of requests that processes other than the owner may have in flight.
     *
     * @param now the current time
     */
    public int maxUseByHolders(Timestamp now) {
        int sum = 0;
        for (Holder holder : holders.values()) {
            sum += holder.maxUse(now);
        }
        return sum;
    }

    /**
     * Returns the grants to send now.
     *
     * @param budget maximum number of requests in flight at the server
     * @param ownInFlight requests of the owner itself in flight at the server
     * @param ownDemand requests that the owner itself would have in flight at the server if it had enough concurrency
     * @param warm whether the server is warm
     * @param now the current time
     */
    public List<Grant> allocate(int budget, int ownInFlight, int ownDemand, boolean warm, Timestamp now) {
        holders.values()
                .removeIf(h ->
                        now.millisSince(h.demandedAt) > HOLDER_EXPIRY_MILLIS && h.maxUse(now) <= h.demand.inFlight());
        Map<ProcessId, Integer> shares = shares(budget - ownInFlight, ownDemand - ownInFlight, warm);
        int free = budget - ownInFlight - maxUseByHolders(now);
        List<Grant> grants = new ArrayList<>();
        for (Map.Entry<ProcessId, Holder> entry : holders.entrySet()) {
            Holder holder = entry.getValue();
            int maxUse = holder.maxUse(now);
            int share = shares.getOrDefault(entry.getKey(), 0);
            int increase = Math.max(0, Math.min(share - maxUse, free));
            int next = Math.min(share, maxUse + increase);
            free -= increase;
            if (isDue(holder, next, warm, now)) {
                recordSent(holder, next, warm, now);
                grants.add(new Grant(server, entry.getKey(), next, VALID_MILLIS, warm));
            }
        }
        return grants;
    }

    private static boolean isDue(Holder holder, int next, boolean warm, Timestamp now) {
        // A process with waiting requests always receives a reply, so that it can send them to other servers if it is
        // granted nothing here.
        if (holder.awaitsReply) {
            return true;
        }
        if (holder.grantedAt == null || next != holder.granted || warm != holder.grantedWarm) {
            return holder.grantedAt != null || next > 0 || warm;
        }
        return (next > 0 || warm) && now.millisSince(holder.grantedAt) >= RENEW_MILLIS;
    }

    private static void recordSent(Holder holder, int next, boolean warm, Timestamp now) {
        holder.awaitsReply = false;
        holder.granted = next;
        holder.grantedWarm = warm;
        holder.grantedAt = now;
        holder.unexpired.add(new SentGrant(next, now));
    }

    private Map<ProcessId, Integer> shares(int availableToOthers, int ownAdditional, boolean warm) {
        Map<ProcessId, Integer> shares = new HashMap<>();
        int left = availableToOthers;
        for (Map.Entry<ProcessId, Holder> entry : holders.entrySet()) {
            int inFlight = Math.min(Math.max(0, left), entry.getValue().demand.inFlight());
            shares.put(entry.getKey(), inFlight);
            left -= inFlight;
        }
        left = addDemanded(shares, left, ownAdditional);
        int processes = holders.size() + 1;
        int each = warm ? (int) (left * SPARE_GRANT_SHARE / processes) : 0;
        if (each > 0) {
            shares.replaceAll((_key, share) -> share + each);
        }
        return shares;
    }

    /** Adds one request per process and round, so that a large demand does not crowd out small ones. */
    private int addDemanded(Map<ProcessId, Integer> shares, int available, int ownAdditional) {
        int left = available;
        int addedToOwner = 0;
        boolean added = true;
        while (left > 0 && added) {
            added = false;
            for (Map.Entry<ProcessId, Holder> entry : holders.entrySet()) {
                int share = shares.get(entry.getKey());
                if (left > 0 && share < entry.getValue().demand.requested()) {
                    shares.put(entry.getKey(), share + 1);
                    left--;
                    added = true;
                }
            }
            if (left > 0 && addedToOwner < ownAdditional) {
                addedToOwner++;
                left--;
                added = true;
            }
        }
        return left;
    }

    /** Returns the process that owns the server. */
    public ProcessId owner() {
        return owner;
    }
}
