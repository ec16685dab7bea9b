package org.geraniumstand.decisions.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumstand.decisions.membership.SubsetChoice;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.fleet.ReclaimNotice;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.time.Timestamp;

/** Tracks the backend servers known to this process and indexes the eligible ones by service and version. */
public final class ServerRegistry {
    private record HostClassKey(ServiceId service, String hostClass) {}

    private record VersionKey(ServiceId service, VersionId version) {}

    private final Map<ServerId, ServerState> states = new HashMap<>();
    private final Map<HostClassKey, LatencyModel> latencyModels = new HashMap<>();
    private final Map<HostId, Long> reclaimDueMillis = new HashMap<>();
    private final Set<ServerId> unlisted = new HashSet<>();
    private Map<VersionKey, List<ServerState>> usable = Map.of();
    private Set<DataCentreId> dataCentresOut = Set.of();
    private ProcessId self;
    private int processes = 1;
    private final List<ServerState> byIndex = new ArrayList<>();

    /**
     * Replaces the list of backend servers with the platform's current list.
     *
     * @param servers all backend servers listed
     */
    public void onFleet(List<BackendServer> servers) {
        Set<ServerId> listed = new HashSet<>();
        for (BackendServer server : servers) {
            listed.add(server.id());
            ServerState state = states.get(server.id());
            if (state == null) {
                LatencyModel latencyModel = latencyModels.computeIfAbsent(
                        new HostClassKey(server.service(), server.hostClass()), _key -> new LatencyModel());
                ServerState added = new ServerState(byIndex.size(), server, latencyModel);
                byIndex.add(added);
                states.put(server.id(), added);
            } else {
                state.update(server);
            }
        }
        // An unlisted server with requests in flight is treated as draining until those requests have ended.
        states.values().removeIf(s -> !listed.contains(s.server().id()) && s.inFlight() <= 0);
        unlisted.clear();
        states.keySet().stream().filter(id -> !listed.contains(id)).forEach(unlisted::add);
        rebuildUsable();
    }

    /**
     * Applies the cloud's current reclaim notices.
     *
     * <p>A notice that disappears before its due time was withdrawn. A notice whose due time has passed stays in effect
     * permanently, because the platform's list of servers lags behind.
     *
     * @param notices all current notices
     * @param now the current time
     * @return hosts for which no notice was in effect before
     */
    public List<HostId> onReclaims(List<ReclaimNotice> notices, Timestamp now) {
        Set<HostId> before = Set.copyOf(reclaimDueMillis.keySet());
        reclaimDueMillis.values().removeIf(due -> due > now.epochMillis());
        List<HostId> added = new ArrayList<>();
        for (ReclaimNotice notice : notices) {
            reclaimDueMillis.put(notice.host(), notice.dueEpochMillis());
            if (!before.contains(notice.host())) {
                added.add(notice.host());
            }
        }
        rebuildUsable();
        return added;
    }

    /**
     * Replaces the set of data centres that operators took out of service.
     *
     * @param dataCentres data centres that receive no new work
     */
    public void onDataCentresOut(Set<DataCentreId> dataCentres) {
        dataCentresOut = dataCentres;
        rebuildUsable();
    }

    /**
     * Updates the number of live processes; above a fixed number of processes each one uses a subset of the servers.
     *
     * @param process this process
     * @param live number of live processes
     */
    public void onMembers(ProcessId process, int live) {
        self = process;
        processes = live;
        rebuildUsable();
    }

    private void rebuildUsable() {
        List<BackendServer> eligible = new ArrayList<>();
        for (ServerState state : states.values()) {
            if (isEligible(state)) {
                eligible.add(state.server());
            }
        }
        List<BackendServer> subset = self == null ? eligible : SubsetChoice.choose(self, processes, eligible);
        Map<VersionKey, List<ServerState>> next = new HashMap<>();
        byIndex.forEach(state -> state.setUsed(false));
        for (BackendServer server : subset) {
            ServerState state = states.get(server.id());
            state.setUsed(true);
            next.computeIfAbsent(new VersionKey(server.service(), server.version()), _key -> new ArrayList<>())
                    .add(state);
        }
        usable = next;
    }

    /**
     * Returns whether this process sends new work to a backend server.
     *
     * @param state the backend server
     */
    public boolean uses(ServerState state) {
        return state.used();
    }

    /**
     * Returns whether a backend server is eligible for new work.
     *
     * @param state the backend server
     */
    public boolean isEligible(ServerState state) {
        BackendServer server = state.server();
        return !unlisted.contains(server.id())
                && ServerEligibility.isEligible(server, reclaimDueMillis.keySet(), dataCentresOut);
    }

    /**
     * Returns the backend servers of a version to which this process sends new work, in no order of preference.
     *
     * @param service the service
     * @param version the version
     */
    public List<ServerState> usable(ServiceId service, VersionId version) {
        return usable.getOrDefault(new VersionKey(service, version), List.of());
    }

    /** Returns all backend servers to which this process sends new work. */
    public List<BackendServer> usableServers() {
        return usable.values().stream()
                .flatMap(List::stream)
                .map(ServerState::server)
                .toList();
    }

    /**
     * Returns the state of a backend server, or empty if the server is unknown.
     *
     * @param id the backend server
     */
    public Optional<ServerState> find(ServerId id) {
        return Optional.ofNullable(states.get(id));
    }

    /**
     * Returns a backend server by its index in this process, even if it is no longer listed.
     *
     * @param index the server's index, from 0
     */
    public ServerState byIndex(int index) {
        return byIndex.get(index);
    }

    /** Returns all backend servers, including unlisted ones that still have requests in flight. */
    public Collection<ServerState> all() {
        return states.values();
    }

    /**
     * Returns the time at which the cloud reclaims a host, in milliseconds since 1970, or empty if there is no notice.
     *
     * @param host the host
     */
    public Optional<Long> reclaimDueMillis(HostId host) {
        return Optional.ofNullable(reclaimDueMillis.get(host));
    }
}
