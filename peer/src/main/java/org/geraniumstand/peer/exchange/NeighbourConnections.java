package org.geraniumstand.peer.exchange;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.geraniumstand.decisions.membership.NeighbourChoice;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;

/** Maintains connections to the selected neighbours, discovers further members and closes idle connections. */
final class NeighbourConnections {
    private static final long IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long RECONNECT_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final ProcessId self;
    private final Links links;
    private final PeerDiscovery discovery;
    private final Map<ProcessId, Long> lastActivity = new HashMap<>();
    private final Map<ProcessId, Long> disconnectedNanos = new HashMap<>();
    private List<Member> neighbours = List.of();

    NeighbourConnections(ProcessId self, Links links, PeerDiscovery discovery) {
        this.self = self;
        this.links = links;
        this.discovery = discovery;
    }

    /** Selects the neighbours among the members; returns those from which direct heartbeats are expected. */
    Set<ProcessId> onMembers(Collection<Member> members) {
        disconnectedNanos.keySet().retainAll(members.stream().map(Member::id).toList());
        neighbours = NeighbourChoice.choose(self, members);
        return neighbours.stream().map(Member::id).collect(Collectors.toSet());
    }

    void onListedMembers(Collection<Member> members) {
        discovery.onListedMembers(members);
    }

    void onConnected(ProcessId peer, long nowNanos) {
        disconnectedNanos.remove(peer);
        lastActivity.put(peer, nowNanos);
    }

    void onDisconnected(ProcessId peer, long nowNanos) {
        disconnectedNanos.put(peer, nowNanos);
        lastActivity.remove(peer);
    }

    /** Records that a connection carried a message other than gossip, which keeps it from being closed as idle. */
    void onActivity(ProcessId peer, long nowNanos) {
        lastActivity.put(peer, nowNanos);
    }

    void reconcile(Collection<Member> alive, Collection<Member> dropped, long nowNanos) {
        Set<ProcessId> connected = Set.copyOf(links.connected());
        Set<ProcessId> neighbourIds = new HashSet<>();
        for (Member neighbour : neighbours) {
            neighbourIds.add(neighbour.id());
            if (!connected.contains(neighbour.id()) && mayConnect(neighbour.id(), nowNanos)) {
                links.connect(neighbour.address(), neighbour.peerPort());
            }
        }
        discovery
                .nextAddresses(alive, dropped, connected.isEmpty(), nowNanos)
                .forEach(address -> links.connect(address.host(), address.port()));
        connected.stream()
                .filter(peer -> !neighbourIds.contains(peer) && isIdle(peer, nowNanos) && links.isOutbound(peer))
                .forEach(links::close);
    }

    private boolean isIdle(ProcessId peer, long nowNanos) {
        return nowNanos - lastActivity.getOrDefault(peer, nowNanos) > IDLE_TIMEOUT_NANOS;
    }

    // After a disconnection the process with the lower id reconnects first, so that the two do not both open a
    // connection.
    private boolean mayConnect(ProcessId peer, long nowNanos) {
        Long lostNanos = disconnectedNanos.get(peer);
        return lostNanos == null || self.compareTo(peer) < 0 || nowNanos - lostNanos > RECONNECT_DELAY_NANOS;
    }
}
