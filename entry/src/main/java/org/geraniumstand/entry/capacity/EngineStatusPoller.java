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

/** Polls the status of a bounded number of backend servers per round and caches their last responses. */
final class EngineStatusPoller {
    /** Maximum number of servers polled per round; bounds the network traffic of the lease holder. */
    static final int POLLED_PER_ROUND = 64;

    private final EngineControl engines;
    private final Map<ServerId, EngineStatus> statuses = new HashMap<>();
    private final Map<ServerId, Long> lastPolledRound = new HashMap<>();
    private List<BackendServer> servers = List.of();
    private long round;

    /**
     * Creates a poller with an empty cache.
     *
     * @param engines client for requesting the status of servers
     */
    EngineStatusPoller(EngineControl engines) {
        this.engines = engines;
    }

    /**
     * Polls the servers that were least recently polled.
     *
     * @param listedServers all servers in the host list
     */
    void poll(List<BackendServer> listedServers) {
        servers = listedServers;
        round++;
        Set<ServerId> ids = listedServers.stream().map(BackendServer::id).collect(Collectors.toSet());
        statuses.keySet().retainAll(ids);
        lastPolledRound.keySet().retainAll(ids);
        List<BackendServer> leastRecentlyPolled = new ArrayList<>(listedServers);
        leastRecentlyPolled.sort(Comparator.comparing(server -> lastPolledRound.getOrDefault(server.id(), 0L)));
        for (BackendServer server :
                leastRecentlyPolled.subList(0, Math.min(POLLED_PER_ROUND, leastRecentlyPolled.size()))) {
            lastPolledRound.put(server.id(), round);
            engines.status(addressOf(server), result -> result.value().ifPresent(s -> statuses.put(server.id(), s)));
        }
    }

    /**
     * Returns the last known number of running and waiting requests per host; a server that has not answered counts as
     * one request.
     */
    Map<HostId, Integer> requestsByHost() {
        Map<HostId, Integer> requests = new HashMap<>();
        for (BackendServer server : servers) {
            EngineStatus status = statuses.get(server.id());
            requests.merge(server.host(), status == null ? 1 : status.running() + status.waiting(), Integer::sum);
        }
        return requests;
    }

    /**
     * Returns the number of running and waiting requests of a service; servers that have not answered count as the
     * average of those that have.
     *
     * @param service ID of the service
     */
    double inFlight(ServiceId service) {
        List<BackendServer> serviceServers =
                servers.stream().filter(s -> s.service().equals(service)).toList();
        List<EngineStatus> available = serviceServers.stream()
                .map(s -> statuses.get(s.id()))
                .filter(status -> status != null)
                .toList();
        double sum = available.stream().mapToInt(s -> s.running() + s.waiting()).sum();
        return available.isEmpty() ? 0 : sum / available.size() * serviceServers.size();
    }

    /**
     * Returns the servers on a host.
     *
     * @param host ID of the host
     */
    List<BackendServer> serversOn(HostId host) {
        return servers.stream().filter(s -> s.host().equals(host)).toList();
    }

    /**
     * Returns the base URL of a server.
     *
     * @param server backend server
     */
    static URI addressOf(BackendServer server) {
        return URI.create("http://" + server.address() + ":" + server.port());
    }
}
