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
import org.geraniumstand.model.time.Moment;

/**
 * What a keeper has granted of one backend server.
 *
 * <p>A grant counts from its sending until the holder must have let it go, a margin for delay included; a smaller one
 * that follows does not free the difference before, as it may not have arrived. So the sum of what holders may use
 * never exceeds the budget that stood when the grants were sent.
 */
@Decision(
        name = "grant-shares",
        summary = "A keeper grants what is in flight, then what is wanted, then most of the spare to all users alike,"
                + " never more than the budget.")
public final class GrantLedger {
    /** How long a grant holds from its receipt, in milliseconds. */
    public static final int VALID_MILLIS = 900;

    /** How much longer the keeper counts a grant, in milliseconds. */
    public static final int MARGIN_MILLIS = 600;

    /** Time after which no grant of an earlier keeper holds, in milliseconds. */
    public static final int GRANT_TIME_MILLIS = VALID_MILLIS + MARGIN_MILLIS;

    private static final int RENEW_MILLIS = 300;
    private static final double SPREAD_SHARE = 0.75;
    private static final int USER_FORGOTTEN_MILLIS = 3_000;

    private final ServerId server;
    private final ProcessId self;
    private final Map<ProcessId, Holder> holders = new TreeMap<>();

    /** What one process has and wants; mutable, of one thread. */
    private static final class Holder {
        private Demand demand;
        private Moment seen;
        private int sent;
        private boolean sentWarm;
        private boolean asks;
        private Moment sentAt;
        private final List<Sent> outstanding = new ArrayList<>();

        private int bound(Moment now) {
            outstanding.removeIf(s -> now.millisSince(s.at()) >= GRANT_TIME_MILLIS);
            int most = demand.inFlight();
            for (Sent grant : outstanding) {
                most = Math.max(most, grant.concurrency());
            }
            return most;
        }
    }

    private record Sent(int concurrency, Moment at) {}

    /**
     * Creates the ledger of a server.
     *
     * @param server the server
     * @param self the keeper
     */
    public GrantLedger(ServerId server, ProcessId self) {
        this.server = server;
        this.self = self;
    }

    /**
     * Takes in a process's wish.
     *
     * @param demand the wish
     * @param now the time
     * @return how many of its requests ended since its wish before
     */
    public int onDemand(Demand demand, Moment now) {
        Holder holder = holders.computeIfAbsent(demand.process(), _key -> new Holder());
        int before = holder.demand == null ? 0 : holder.demand.inFlight();
        holder.demand = demand;
        holder.asks = demand.wanted() > demand.inFlight();
        holder.seen = now;
        return Math.max(0, before - demand.inFlight());
    }

    /**
     * Returns what others than the keeper may have in flight.
     *
     * @param now the time
     */
    public int granted(Moment now) {
        int sum = 0;
        for (Holder holder : holders.values()) {
            sum += holder.bound(now);
        }
        return sum;
    }

    /**
     * Decides on the grants to send now.
     *
     * @param budget requests that may be in flight at the server
     * @param own requests of the keeper itself in flight
     * @param ownWanted requests that the keeper itself would like to have there
     * @param warm whether the server is warm
     * @param now the time
     */
    public List<Grant> allocate(int budget, int own, int ownWanted, boolean warm, Moment now) {
        holders.values()
                .removeIf(h -> now.millisSince(h.seen) > USER_FORGOTTEN_MILLIS && h.bound(now) <= h.demand.inFlight());
        Map<ProcessId, Integer> shares = shares(budget - own, ownWanted - own, warm);
        int free = budget - own - granted(now);
        List<Grant> grants = new ArrayList<>();
        for (Map.Entry<ProcessId, Holder> entry : holders.entrySet()) {
            Holder holder = entry.getValue();
            int bound = holder.bound(now);
            int share = shares.getOrDefault(entry.getKey(), 0);
            int rise = Math.max(0, Math.min(share - bound, free));
            int next = Math.min(share, bound + rise);
            free -= rise;
            if (due(holder, next, warm, now)) {
                send(holder, next, warm, now);
                grants.add(new Grant(server, entry.getKey(), next, VALID_MILLIS, warm));
            }
        }
        return grants;
    }

    private static boolean due(Holder holder, int next, boolean warm, Moment now) {
        // Who has requests waiting is always answered, so that these can go elsewhere when they get nothing here.
        if (holder.asks) {
            return true;
        }
        if (holder.sentAt == null || next != holder.sent || warm != holder.sentWarm) {
            return holder.sentAt != null || next > 0 || warm;
        }
        return (next > 0 || warm) && now.millisSince(holder.sentAt) >= RENEW_MILLIS;
    }

    private static void send(Holder holder, int next, boolean warm, Moment now) {
        holder.asks = false;
        holder.sent = next;
        holder.sentWarm = warm;
        holder.sentAt = now;
        holder.outstanding.add(new Sent(next, now));
    }

    private Map<ProcessId, Integer> shares(int forOthers, int ownWish, boolean warm) {
        Map<ProcessId, Integer> shares = new HashMap<>();
        int left = forOthers;
        for (Map.Entry<ProcessId, Holder> entry : holders.entrySet()) {
            int inFlight = Math.min(Math.max(0, left), entry.getValue().demand.inFlight());
            shares.put(entry.getKey(), inFlight);
            left -= inFlight;
        }
        left = giveWanted(shares, left, ownWish);
        int users = holders.size() + 1;
        int each = warm ? (int) (left * SPREAD_SHARE / users) : 0;
        if (each > 0) {
            shares.replaceAll((_key, share) -> share + each);
        }
        return shares;
    }

    /** Hands out one request at a time, so that a large wish does not crowd out small ones. */
    private int giveWanted(Map<ProcessId, Integer> shares, int available, int ownWish) {
        int left = available;
        int forSelf = 0;
        boolean gave = true;
        while (left > 0 && gave) {
            gave = false;
            for (Map.Entry<ProcessId, Holder> entry : holders.entrySet()) {
                int share = shares.get(entry.getKey());
                if (left > 0 && share < entry.getValue().demand.wanted()) {
                    shares.put(entry.getKey(), share + 1);
                    left--;
                    gave = true;
                }
            }
            if (left > 0 && forSelf < ownWish) {
                forSelf++;
                left--;
                gave = true;
            }
        }
        return left;
    }

    /** Returns the keeper. */
    public ProcessId self() {
        return self;
    }
}
