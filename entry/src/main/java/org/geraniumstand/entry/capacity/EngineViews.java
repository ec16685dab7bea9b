package org.geraniumstand.entry.capacity;

import java.net.URI;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumstand.model.capacity.EngineStatus;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.outside.engine.EngineControl;

/** Asks backend servers what they run, a bounded number a round, and remembers what they said last. */
final class EngineViews {
    /** Servers asked in a round; bounds the bytes that the holder of the lease spends. */
    static final int ASKED_PER_ROUND = 64;

    private final EngineControl engines;
    private final Map<ServerId, EngineStatus> statuses = new HashMap<>();
    private final Map<ServerId, Long> asked = new HashMap<>();
    private List<BackendServer> servers = List.of();
    private long round;

    /**
     * Creates the views.
     *
     * @param engines asked
     */
    EngineViews(EngineControl engines) {
        this.engines = engines;
    }

    /**
     * Asks the servers that were asked longest ago.
     *
     * @param listed the servers that there are
     */
    void ask(List<BackendServer> listed) {
        servers = listed;
        round++;
        Set<ServerId> ids = listed.stream().map(BackendServer::id).collect(Collectors.toSet());
        statuses.keySet().retainAll(ids);
        asked.keySet().retainAll(ids);
        List<BackendServer> order = new ArrayList<>(listed);
        order.sort(Comparator.comparing(server -> asked.getOrDefault(server.id(), 0L)));
        for (BackendServer server : order.subList(0, Math.min(ASKED_PER_ROUND, order.size()))) {
            asked.put(server.id(), round);
            engines.status(addressOf(server), result -> result.value().ifPresent(s -> statuses.put(server.id(), s)));
        }
    }

    /** Returns the requests that each host was last known to have; a host that has not answered counts as busy. */
    Map<HostId, Integer> work() {
        Map<HostId, Integer> work = new HashMap<>();
        for (BackendServer server : servers) {
            EngineStatus status = statuses.get(server.id());
            work.merge(server.host(), status == null ? 1 : status.running() + status.waiting(), Integer::sum);
        }
        return work;
    }

    /**
     * Returns the requests of a service in flight; servers that have not answered count like the average.
     *
     * @param service the service
     */
    double inFlight(ServiceId service) {
        List<BackendServer> mine =
                servers.stream().filter(s -> s.service().equals(service)).toList();
        List<EngineStatus> known = mine.stream()
                .map(s -> statuses.get(s.id()))
                .filter(status -> status != null)
                .toList();
        double sum = known.stream().mapToInt(s -> s.running() + s.waiting()).sum();
        return known.isEmpty() ? 0 : sum / known.size() * mine.size();
    }

    /**
     * Returns the servers on a host.
     *
     * @param host the host
     */
    List<BackendServer> on(HostId host) {
        return servers.stream().filter(s -> s.host().equals(host)).toList();
    }

    /**
     * Returns where a server listens.
     *
     * @param server the server
     */
    static URI addressOf(BackendServer server) {
        return URI.create("http://" + server.address() + ":" + server.port());
    }
}
