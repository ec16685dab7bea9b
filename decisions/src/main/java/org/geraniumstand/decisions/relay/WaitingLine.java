package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.relay.WaitingCalls;
import org.geraniumstand.model.time.Timestamp;

/** Knows what waits for the servers of a service at all processes, and what they have sent lately. Not thread-safe. */
@Decision(
        name = "line-share",
        summary = "While there is too little room, the teams of a rank go out in the order of the work lately sent "
                + "for them by all processes, and free places are left to calls of other processes that go first.")
final class WaitingLine {
    /** Milliseconds after which the news of others expire; aggregators answer several times a second. */
    private static final long NEWS_VALID_MILLIS = 1_500;

    /**
     * Fraction of a team's work below which another team goes first at other processes; teams that are served alike would
     * otherwise hold each other back.
     */
    private static final double CLEARLY_LESS = 0.98;

    /**
     * Fraction of the rate of all calls that a rank can count on whatever those above it sent lately; what they send
     * changes within seconds.
     */
    private static final double MIN_RATE_SHARE = 0.2;

    /** Seconds over which sent calls are averaged: enough for low rates, short enough to follow a loss of servers. */
    static final double RATE_SECONDS = 2;

    /** Seconds over which the work of teams is compared: a burst of a moment within a team's share costs it nothing. */
    private static final double SHARE_SECONDS = 10;

    private final ServiceId service;
    private final Map<Key, Sent> own = new HashMap<>();
    private Map<Key, WaitingCalls> others = Map.of();
    private long othersNanos;
    private boolean newsUnused;
    private double credit;

    /**
     * Identifies calls that are treated alike.
     *
     * @param rank their priority
     * @param team identifier of their team, empty for none
     */
    record Key(int rank, String team) {
        static Key of(RelayCall call) {
            return new Key(call.priority(), WaitingLine.team(call));
        }
    }

    private static final class Sent {
        private final RecentSum calls = new RecentSum(RATE_SECONDS);
        private final RecentSum work = new RecentSum(SHARE_SECONDS);
    }

    WaitingLine(ServiceId service) {
        this.service = service;
    }

    static String team(RelayCall call) {
        return call.team().map(team -> team.id().value()).orElse("");
    }

    /** Records that this process sent a call. */
    void onSent(RelayCall call, long nowNanos) {
        Sent sent = own.computeIfAbsent(Key.of(call), _key -> new Sent());
        sent.calls.add(1, nowNanos);
        sent.work.add(CallWork.of(call), nowNanos);
    }

    /** Records that this process took a free place. */
    void onPlaceTaken() {
        credit = Math.max(0, credit - 1);
    }

    /** Records that a call of this process left a place at a server, which the others don't know yet. */
    void onFreed() {
        credit++;
    }

    /**
     * Returns how many calls this process may send now.
     *
     * <p>All processes see the same free places. If calls wait at others too, this process takes its share of the places,
     * once for each news of the others, and those that its own calls left since.
     *
     * @param freeSlots number of free places as far as this process knows
     * @param waiting the calls that wait at this process, at least one
     * @param nowNanos the monotonic time in nanoseconds
     */
    int places(int freeSlots, Map<Key, Integer> waiting, long nowNanos) {
        if (!othersWait(nowNanos)) {
            credit = 0;
            return freeSlots;
        }
        if (newsUnused) {
            newsUnused = false;
            int rank = waiting.keySet().stream().mapToInt(Key::rank).min().orElse(0);
            int mine = sum(waiting, rank);
            Map<Key, Integer> elsewhere = new HashMap<>();
            others(nowNanos).forEach((key, line) -> elsewhere.put(key, line.calls()));
            credit = Math.min(1, credit) + (double) freeSlots * mine / Math.max(1, mine + sum(elsewhere, rank));
        }
        return Math.min(freeSlots, (int) credit);
    }

    private static int sum(Map<Key, Integer> calls, int lowestRank) {
        return calls.entrySet().stream()
                .filter(entry -> entry.getKey().rank() <= lowestRank)
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    /** Records what waits at the other processes; lines of other services are ignored. */
    void onOthers(List<WaitingCalls> lines, long nowNanos) {
        Map<Key, WaitingCalls> next = new HashMap<>();
        for (WaitingCalls line : lines) {
            if (line.service().equals(service)) {
                next.put(new Key(line.rank(), line.team()), line);
            }
        }
        others = Map.copyOf(next);
        othersNanos = nowNanos;
        newsUnused = true;
    }

    private Map<Key, WaitingCalls> others(long nowNanos) {
        return nowNanos - othersNanos > NEWS_VALID_MILLIS * Timestamp.NANOS_PER_MILLI ? Map.of() : others;
    }

    /** Returns whether calls wait at other processes, as far as this one knows. */
    boolean othersWait(long nowNanos) {
        for (WaitingCalls line : others(nowNanos).values()) {
            if (line.calls() > 0) {
                return true;
            }
        }
        return false;
    }

    /** Returns the work that all processes sent lately for a team of a rank, in prompt tokens. */
    double sentWork(Key key, long nowNanos) {
        Sent sent = own.get(key);
        WaitingCalls line = others(nowNanos).get(key);
        return (sent == null ? 0 : sent.work.at(nowNanos)) + (line == null ? 0 : line.sentWork());
    }

    /** Returns the number of calls at other processes that go before those of a team, whenever they arrived. */
    int firstElsewhere(Key key, long nowNanos) {
        double limit = CLEARLY_LESS * sentWork(key, nowNanos);
        int calls = 0;
        for (Map.Entry<Key, WaitingCalls> entry : others(nowNanos).entrySet()) {
            Key other = entry.getKey();
            boolean poorer =
                    other.rank() == key.rank() && !other.team().equals(key.team()) && sentWork(other, nowNanos) < limit;
            if (other.rank() < key.rank() || poorer) {
                calls += entry.getValue().calls();
            }
        }
        return calls;
    }

    /**
     * Returns the number of calls at other processes that are expected to go before a call.
     *
     * <p>The calls of its own team are taken to have arrived evenly over the time that callers wait; all go before a late one. Room is shared, so that
     * no more calls of each other team go first than of its own.
     *
     * @param call the call
     * @param nowNanos the monotonic time in nanoseconds
     */
    int aheadElsewhere(RelayCall call, long nowNanos) {
        Key key = Key.of(call);
        Map<Key, WaitingCalls> lines = others(nowNanos);
        int higher = 0;
        int rivals = 0;
        int teams = 1;
        for (Map.Entry<Key, WaitingCalls> entry : lines.entrySet()) {
            int calls = entry.getValue().calls();
            if (entry.getKey().rank() < key.rank()) {
                higher += calls;
            } else if (entry.getKey().rank() == key.rank()
                    && calls > 0
                    && !entry.getKey().team().equals(key.team())) {
                rivals += calls;
                teams++;
            }
        }
        WaitingCalls mine = lines.get(key);
        double patience = Math.max(1, call.deadlineNanos() - call.arrivedNanos());
        double left = Math.min(1, Math.max(0, (call.deadlineNanos() - nowNanos) / patience));
        boolean late = nowNanos - call.arrivedNanos() > call.route().targetMillis() * Timestamp.NANOS_PER_MILLI;
        double ownAhead = mine == null ? 0 : mine.calls() * (late ? 1 : left);
        return (int) Math.round(higher + ownAhead + Math.min(rivals, (ownAhead + 1) * (teams - 1)));
    }

    /** Returns the rate at which all processes send calls of a rank and those below it, in calls per second. */
    double sentPerSecond(int rank, long nowNanos) {
        double all = 0;
        double higher = 0;
        for (Map.Entry<Key, Sent> entry : own.entrySet()) {
            double calls = entry.getValue().calls.at(nowNanos);
            all += calls;
            higher += entry.getKey().rank() < rank ? calls : 0;
        }
        for (Map.Entry<Key, WaitingCalls> entry : others(nowNanos).entrySet()) {
            int calls = entry.getValue().sentCalls();
            all += calls;
            higher += entry.getKey().rank() < rank ? calls : 0;
        }
        return Math.max(all - higher, all * MIN_RATE_SHARE) / RATE_SECONDS;
    }

    /**
     * Returns what this process tells the others: nothing while no call waits anywhere.
     *
     * @param waiting number of calls that wait at this process
     * @param nowNanos the monotonic time in nanoseconds
     */
    List<WaitingCalls> report(Map<Key, Integer> waiting, long nowNanos) {
        own.values().removeIf(sent -> sent.work.at(nowNanos) < 0.1);
        if (waiting.isEmpty() && !othersWait(nowNanos)) {
            return List.of();
        }
        Set<Key> keys = new HashSet<>(own.keySet());
        keys.addAll(waiting.keySet());
        List<WaitingCalls> lines = new ArrayList<>();
        for (Key key : keys) {
            Sent sent = own.get(key);
            lines.add(new WaitingCalls(
                    service,
                    key.rank(),
                    key.team(),
                    waiting.getOrDefault(key, 0),
                    sent == null ? 0 : (int) Math.round(sent.calls.at(nowNanos)),
                    sent == null ? 0 : Math.round(sent.work.at(nowNanos))));
        }
        return lines;
    }
}
