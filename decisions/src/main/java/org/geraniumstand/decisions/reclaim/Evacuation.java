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
import org.geraniumstand.decisions.request.InFlightRequest;
import org.geraniumstand.decisions.routing.ServerRegistry;
import org.geraniumstand.decisions.routing.ServerState;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.time.Timestamp;

/**
 * Migrates requests in flight away from draining backend servers.
 *
 * <p>Requests with the most tokens to recompute are migrated first, while KV caches can still be copied. The number of
 * migrations per tick is limited to what the remaining servers can absorb without delaying their other requests; the
 * limit is higher for requests whose server stops soon.
 */
@Decision(
        name = "evacuation",
        summary = "Requests that cannot finish before their server stops are migrated to other servers, those with the"
                + " most tokens to recompute first, at a rate that the remaining servers can absorb.")
public final class Evacuation {
    private static final long URGENT_MILLIS = 20_000;
    private static final long ASSUMED_NOTICE_MILLIS = 30_000;
    private static final int MAX_MIGRATIONS_TO_SERVER_PER_TICK = 2;
    private static final int MAX_NON_URGENT_MIGRATIONS_PER_TICK = 1;
    private static final int MAX_MIGRATIONS_PER_TICK = 16;

    private final ServerRegistry fleet;
    private final Map<ServerId, Timestamp> drainingSince = new TreeMap<>();

    /** Migrates a request to a server with spare concurrency. */
    @FunctionalInterface
    public interface Migrator {
        /**
         * Migrates a request.
         *
         * @param request the request in flight
         * @param now the current time
         * @param actions list to which the resulting actions are added
         * @return the server that the request was migrated to, or empty if it stays at its server
         */
        Optional<ServerId> migrate(InFlightRequest request, Timestamp now, List<Action> actions);
    }

    private record Candidate(InFlightRequest request, long millisUntilServerLeaves) {}

    /**
     * Creates an evacuation that tracks no draining servers yet.
     *
     * @param fleet the backend servers that this process knows
     */
    public Evacuation(ServerRegistry fleet) {
        this.fleet = fleet;
    }

    /**
     * Migrates the requests that cannot finish at their server in time, within the limits of one tick.
     *
     * @param requests the requests of this process that have not ended
     * @param migrator migrates a single request
     * @param now the current time
     * @param actions list to which the resulting actions are added
     */
    public void onTick(Collection<InFlightRequest> requests, Migrator migrator, Timestamp now, List<Action> actions) {
        trackDrainingServers(now);
        if (drainingSince.isEmpty()) {
            return;
        }
        List<Candidate> candidates = findCandidates(requests, now);
        candidates.sort(Comparator.comparingInt((Candidate c) -> -c.request().contextTokens())
                .thenComparing(c -> c.request().info().id()));
        Map<ServerId, Integer> migratedByTarget = new HashMap<>();
        int migrated = 0;
        int nonUrgentMigrated = 0;
        for (Candidate next : candidates) {
            boolean nonUrgent = next.millisUntilServerLeaves() > URGENT_MILLIS;
            if (migrated >= MAX_MIGRATIONS_PER_TICK
                    || (nonUrgent && nonUrgentMigrated >= MAX_NON_URGENT_MIGRATIONS_PER_TICK)) {
                continue;
            }
            Optional<ServerId> target = migrator.migrate(next.request(), now, actions);
            if (target.isEmpty()) {
                continue;
            }
            migrated++;
            nonUrgentMigrated += nonUrgent ? 1 : 0;
            if (migratedByTarget.merge(target.get(), 1, Integer::sum) >= MAX_MIGRATIONS_TO_SERVER_PER_TICK) {
                break;
            }
        }
    }

    private void trackDrainingServers(Timestamp now) {
        Set<ServerId> draining = new HashSet<>();
        for (ServerState state : fleet.all()) {
            if (!fleet.isEligible(state)) {
                draining.add(state.server().id());
                drainingSince.putIfAbsent(state.server().id(), now);
            }
        }
        drainingSince.keySet().retainAll(draining);
    }

    private List<Candidate> findCandidates(Collection<InFlightRequest> requests, Timestamp now) {
        List<Candidate> candidates = new ArrayList<>();
        for (InFlightRequest request : requests) {
            if (request.isWaiting()
                    || !drainingSince.containsKey(request.server().server().id())) {
                continue;
            }
            long millisUntilServerStops = millisUntilServerStops(request.server(), now);
            if (MigrationRule.mustMigrate(request, millisUntilServerStops, now)) {
                candidates.add(new Candidate(request, millisUntilServerStops));
            }
        }
        return candidates;
    }

    private long millisUntilServerStops(ServerState state, Timestamp now) {
        HostId host = state.server().host();
        Timestamp start = drainingSince.get(state.server().id());
        return fleet.reclaimDueMillis(host)
                .map(dueEpochMillis -> dueEpochMillis - now.epochMillis())
                .orElseGet(() -> ASSUMED_NOTICE_MILLIS - now.millisSince(start));
    }
}
