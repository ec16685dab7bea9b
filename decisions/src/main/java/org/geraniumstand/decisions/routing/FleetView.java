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
import org.geraniumstand.model.time.Moment;

/** The backend servers as this process sees them, with those that may take new work by service and version. */
public final class FleetView {
    private record PaceKey(ServiceId service, String hostClass) {}

    private record Group(ServiceId service, VersionId version) {}

    private final Map<ServerId, ServerState> states = new HashMap<>();
    private final Map<PaceKey, Pace> paces = new HashMap<>();
    private final Map<HostId, Long> dueMillis = new HashMap<>();
    private final Set<ServerId> vanished = new HashSet<>();
    private Map<Group, List<ServerState>> usable = Map.of();
    private Set<DataCentreId> out = Set.of();
    private ProcessId self;
    private int processes = 1;
    private final List<ServerState> bySlot = new ArrayList<>();

    /**
     * Takes in the platform's list.
     *
     * @param servers all backend servers listed
     */
    public void onFleet(List<BackendServer> servers) {
        Set<ServerId> listed = new HashSet<>();
        for (BackendServer server : servers) {
            listed.add(server.id());
            ServerState state = states.get(server.id());
            if (state == null) {
                Pace pace =
                        paces.computeIfAbsent(new PaceKey(server.service(), server.hostClass()), _key -> new Pace());
                ServerState added = new ServerState(bySlot.size(), server, pace);
                bySlot.add(added);
                states.put(server.id(), added);
            } else {
                state.list(server);
            }
        }
        // A server that is gone but has work left counts as leaving until that work has ended.
        states.values().removeIf(s -> !listed.contains(s.server().id()) && s.inFlight() <= 0);
        vanished.clear();
        states.keySet().stream().filter(id -> !listed.contains(id)).forEach(vanished::add);
        regroup();
    }

    /**
     * Takes in the cloud's notices.
     *
     * <p>A notice that is gone before it was due was taken back; one that was due holds for good, as the platform's
     * list lags behind.
     *
     * @param notices all notices that stand
     * @param now the time
     * @return hosts that were not reclaimed before
     */
    public List<HostId> onReclaims(List<ReclaimNotice> notices, Moment now) {
        Set<HostId> before = Set.copyOf(dueMillis.keySet());
        dueMillis.values().removeIf(due -> due > now.epochMillis());
        List<HostId> fresh = new ArrayList<>();
        for (ReclaimNotice notice : notices) {
            dueMillis.put(notice.host(), notice.dueEpochMillis());
            if (!before.contains(notice.host())) {
                fresh.add(notice.host());
            }
        }
        regroup();
        return fresh;
    }

    /**
     * Takes in the data centres that operators took out.
     *
     * @param dataCentres data centres that take no new work
     */
    public void onDataCentresOut(Set<DataCentreId> dataCentres) {
        out = dataCentres;
        regroup();
    }

    /**
     * Takes in who shares the servers; past some processes each uses a part of the servers only.
     *
     * @param process this process
     * @param live number of live processes
     */
    public void onMembers(ProcessId process, int live) {
        self = process;
        processes = live;
        regroup();
    }

    private void regroup() {
        List<BackendServer> open = new ArrayList<>();
        for (ServerState state : states.values()) {
            if (takesNewWork(state)) {
                open.add(state.server());
            }
        }
        List<BackendServer> part = self == null ? open : SubsetChoice.choose(self, processes, open);
        Map<Group, List<ServerState>> next = new HashMap<>();
        bySlot.forEach(state -> state.use(false));
        for (BackendServer server : part) {
            ServerState state = states.get(server.id());
            state.use(true);
            next.computeIfAbsent(new Group(server.service(), server.version()), _key -> new ArrayList<>())
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
     * Returns whether a backend server may take new work.
     *
     * @param state the backend server
     */
    public boolean takesNewWork(ServerState state) {
        BackendServer server = state.server();
        return !vanished.contains(server.id()) && TakesNewWork.test(server, dueMillis.keySet(), out);
    }

    /**
     * Returns the backend servers of a version that may take new work, in no order of preference.
     *
     * @param service the service
     * @param version the version
     */
    public List<ServerState> usable(ServiceId service, VersionId version) {
        return usable.getOrDefault(new Group(service, version), List.of());
    }

    /** Returns all backend servers that may take new work. */
    public List<BackendServer> takingNewWork() {
        return usable.values().stream()
                .flatMap(List::stream)
                .map(ServerState::server)
                .toList();
    }

    /**
     * Finds a backend server.
     *
     * @param id the backend server
     */
    public Optional<ServerState> find(ServerId id) {
        return Optional.ofNullable(states.get(id));
    }

    /**
     * Returns a backend server by its number in this process; it may have left.
     *
     * @param slot the number
     */
    public ServerState bySlot(int slot) {
        return bySlot.get(slot);
    }

    /** Returns all backend servers, those that left with work on them included. */
    public Collection<ServerState> all() {
        return states.values();
    }

    /**
     * Returns when a host goes, in milliseconds since 1970, if the cloud takes it back.
     *
     * @param host the host
     */
    public Optional<Long> dueMillis(HostId host) {
        return Optional.ofNullable(dueMillis.get(host));
    }
}
