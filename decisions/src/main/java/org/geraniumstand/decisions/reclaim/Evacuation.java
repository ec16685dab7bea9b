package org.geraniumstand.decisions.reclaim;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.decisions.flight.Flight;
import org.geraniumstand.decisions.routing.FleetView;
import org.geraniumstand.decisions.routing.ServerState;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.time.Moment;

/**
 * Moves work away from backend servers that leave.
 *
 * <p>Those with the most to compute again go first, while caches can still be copied. Each tick moves only as much as
 * the remaining servers take in without making everybody wait, the sooner the due time the more.
 */
@Decision(
        name = "evacuation",
        summary =
                "Work that cannot end in time is moved before its server goes, what is dearest to compute again first,"
                        + " spread over what the remaining servers bear.")
public final class Evacuation {
    private static final long UNHURRIED_MILLIS = 20_000;
    private static final long ASSUMED_STAY_MILLIS = 30_000;
    private static final int MOVES_TO_SERVER_A_TICK = 2;
    private static final int UNHURRIED_MOVES_A_TICK = 1;
    private static final int MOVES_A_TICK = 16;

    private final FleetView fleet;
    private final Map<ServerId, Moment> since = new TreeMap<>();

    /** Moves a request to a server with room. */
    @FunctionalInterface
    public interface Mover {
        /**
         * Moves a request.
         *
         * @param flight the request
         * @param now the time
         * @param actions filled with what is to be done
         * @return the server that has it now, or nothing if it stays
         */
        Optional<ServerId> move(Flight flight, Moment now, List<Action> actions);
    }

    private record Due(Flight flight, long leftMillis) {}

    /**
     * Creates the evacuation of a process.
     *
     * @param fleet the backend servers
     */
    public Evacuation(FleetView fleet) {
        this.fleet = fleet;
    }

    /**
     * Moves what must and can be moved now.
     *
     * @param flights the requests of this process
     * @param mover moves a request
     * @param now the time
     * @param actions filled with what is to be done
     */
    public void onTick(Collection<Flight> flights, Mover mover, Moment now, List<Action> actions) {
        noteLeaving(now);
        if (since.isEmpty()) {
            return;
        }
        List<Due> due = mustMove(flights, now);
        due.sort(Comparator.comparingInt((Due d) -> -d.flight().contextTokens())
                .thenComparing(d -> d.flight().facts().id()));
        Map<ServerId, Integer> arrivals = new HashMap<>();
        int moved = 0;
        int unhurried = 0;
        for (Due next : due) {
            boolean calm = next.leftMillis() > UNHURRIED_MILLIS;
            if (moved >= MOVES_A_TICK || (calm && unhurried >= UNHURRIED_MOVES_A_TICK)) {
                continue;
            }
            Optional<ServerId> target = mover.move(next.flight(), now, actions);
            if (target.isEmpty()) {
                continue;
            }
            moved++;
            unhurried += calm ? 1 : 0;
            if (arrivals.merge(target.get(), 1, Integer::sum) >= MOVES_TO_SERVER_A_TICK) {
                break;
            }
        }
    }

    private void noteLeaving(Moment now) {
        Set<ServerId> leaving = new HashSet<>();
        for (ServerState state : fleet.all()) {
            if (!fleet.takesNewWork(state)) {
                leaving.add(state.server().id());
                since.putIfAbsent(state.server().id(), now);
            }
        }
        since.keySet().retainAll(leaving);
    }

    private List<Due> mustMove(Collection<Flight> flights, Moment now) {
        List<Due> due = new ArrayList<>();
        for (Flight flight : flights) {
            if (flight.waits() || !since.containsKey(flight.server().server().id())) {
                continue;
            }
            long left = leftMillis(flight.server(), now);
            if (StayOrMove.mustMove(flight, left, now)) {
                due.add(new Due(flight, left));
            }
        }
        return due;
    }

    private long leftMillis(ServerState state, Moment now) {
        HostId host = state.server().host();
        Moment from = since.get(state.server().id());
        return fleet.dueMillis(host)
                .map(dueAt -> dueAt - now.epochMillis())
                .orElseGet(() -> ASSUMED_STAY_MILLIS - now.millisSince(from));
    }
}
