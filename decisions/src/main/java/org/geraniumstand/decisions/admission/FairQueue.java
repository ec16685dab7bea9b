package org.geraniumstand.decisions.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.geraniumstand.decisions.flight.Flight;
import org.geraniumstand.model.config.Priority;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.request.RequestFacts;

/**
 * The requests of a service that wait for a server.
 *
 * <p>Requests that were under way already go first. Then interactive work goes before batch work, but each so many
 * turns batch work goes first, so that it is never starved. Within each, teams take turns.
 */
public final class FairQueue {
    /** Most requests of a team that wait. */
    public static final int MOST_OF_TEAM = 256;

    private static final int BATCH_TURN_ONE_IN = 8;

    private final Deque<Flight> resumed = new ArrayDeque<>();
    private final Map<TeamId, Deque<Flight>> interactive = new TreeMap<>();
    private final Map<TeamId, Deque<Flight>> batch = new TreeMap<>();
    private final TeamShares shares = new TeamShares();
    private final TeamShares batchShares = new TeamShares();
    private int turns;

    /**
     * Adds a request.
     *
     * @param flight the request
     * @return whether its team has room for it
     */
    public boolean add(Flight flight) {
        Map<TeamId, Deque<Flight>> lane = lane(flight);
        TeamId team = flight.facts().team();
        Deque<Flight> waiting = lane.get(team);
        if (waiting == null) {
            waiting = new ArrayDeque<>();
            lane.put(team, waiting);
            sharesOf(flight).onActive(team);
        }
        if (waiting.size() >= MOST_OF_TEAM) {
            return false;
        }
        waiting.add(flight);
        return true;
    }

    /**
     * Adds a request that was under way and needs another server.
     *
     * @param flight the request
     */
    public void addResumed(Flight flight) {
        resumed.add(flight);
    }

    private Map<TeamId, Deque<Flight>> lane(Flight flight) {
        return flight.facts().priority() == Priority.BATCH ? batch : interactive;
    }

    private TeamShares sharesOf(Flight flight) {
        return flight.facts().priority() == Priority.BATCH ? batchShares : shares;
    }

    /**
     * Takes requests out in turn for as long as they find a server.
     *
     * @param weight the weight of a team
     * @param place tries to find a server for a request
     */
    public void drain(ToIntFunction<TeamId> weight, Predicate<Flight> place) {
        resumed.removeIf(place);
        boolean going = true;
        while (going) {
            boolean batchFirst = turns % BATCH_TURN_ONE_IN == BATCH_TURN_ONE_IN - 1;
            going = batchFirst
                    ? turn(batch, batchShares, weight, place) || turn(interactive, shares, weight, place)
                    : turn(interactive, shares, weight, place) || turn(batch, batchShares, weight, place);
            turns += going ? 1 : 0;
        }
    }

    /** Tries the team whose turn it is, then the others, as a version or server may be full for one request only. */
    private static boolean turn(
            Map<TeamId, Deque<Flight>> lane, TeamShares order, ToIntFunction<TeamId> weight, Predicate<Flight> place) {
        Set<TeamId> teams = new HashSet<>(lane.keySet());
        while (!teams.isEmpty()) {
            TeamId team = order.next(teams);
            teams.remove(team);
            Deque<Flight> waiting = lane.get(team);
            Flight flight = waiting.peek();
            if (!place.test(flight)) {
                continue;
            }
            waiting.remove();
            if (waiting.isEmpty()) {
                lane.remove(team);
            }
            order.charge(team, work(flight.facts()), weight.applyAsInt(team));
            return true;
        }
        return false;
    }

    private static double work(RequestFacts facts) {
        return 1 + facts.promptTokens() + facts.answerTokens();
    }

    /**
     * Removes requests.
     *
     * @param gone tells whether a request is removed
     * @return the requests removed
     */
    public List<Flight> removeIf(Predicate<Flight> gone) {
        List<Flight> removed = new ArrayList<>();
        remove(resumed, gone, removed);
        for (Map<TeamId, Deque<Flight>> lane : List.of(interactive, batch)) {
            lane.values().forEach(waiting -> remove(waiting, gone, removed));
            lane.values().removeIf(Deque::isEmpty);
        }
        return removed;
    }

    private static void remove(Deque<Flight> from, Predicate<Flight> gone, List<Flight> removed) {
        for (Iterator<Flight> it = from.iterator(); it.hasNext(); ) {
            Flight flight = it.next();
            if (gone.test(flight)) {
                it.remove();
                removed.add(flight);
            }
        }
    }

    /** Returns how many requests wait. */
    public int size() {
        int size = resumed.size();
        for (Deque<Flight> waiting : interactive.values()) {
            size += waiting.size();
        }
        for (Deque<Flight> waiting : batch.values()) {
            size += waiting.size();
        }
        return size;
    }

    /** Returns whether no request waits. */
    public boolean isEmpty() {
        return resumed.isEmpty() && interactive.isEmpty() && batch.isEmpty();
    }

    /**
     * Returns how many requests go before the next one of a team.
     *
     * @param facts the next request
     * @param weight the weight of a team
     */
    public double ahead(RequestFacts facts, ToIntFunction<TeamId> weight) {
        Map<TeamId, Deque<Flight>> lane = facts.priority() == Priority.BATCH ? batch : interactive;
        Deque<Flight> own = lane.get(facts.team());
        int before = own == null ? 0 : own.size();
        double mine = Math.max(1, weight.applyAsInt(facts.team()));
        double ahead = before + resumed.size();
        for (Map.Entry<TeamId, Deque<Flight>> entry : lane.entrySet()) {
            if (!entry.getKey().equals(facts.team())) {
                double turnsOfOther = (before + 1) * weight.applyAsInt(entry.getKey()) / mine;
                ahead += Math.min(entry.getValue().size(), turnsOfOther);
            }
        }
        return ahead;
    }

    /**
     * Returns the requests that wait, in no order of preference.
     *
     * @param most how many to return
     */
    public List<Flight> some(int most) {
        List<Flight> found = new ArrayList<>(resumed);
        interactive.values().forEach(found::addAll);
        batch.values().forEach(found::addAll);
        return found.size() <= most ? found : found.subList(0, most);
    }
}
