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

/** Keeps connections to the neighbours, opens others where members may be found, and closes idle ones. */
final class Neighbours {
    private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long RECONNECT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final ProcessId self;
    private final Links links;
    private final Contacts contacts;
    private final Map<ProcessId, Long> lastUse = new HashMap<>();
    private final Map<ProcessId, Long> disconnected = new HashMap<>();
    private List<Member> chosen = List.of();

    Neighbours(ProcessId self, Links links, Contacts contacts) {
        this.self = self;
        this.links = links;
        this.contacts = contacts;
    }

    /** Chooses anew and returns the members that are expected to be heard directly. */
    Set<ProcessId> onMembers(Collection<Member> members) {
        disconnected.keySet().retainAll(members.stream().map(Member::id).toList());
        chosen = NeighbourChoice.choose(self, members);
        return chosen.stream().map(Member::id).collect(Collectors.toSet());
    }

    void onListed(Collection<Member> members) {
        contacts.onListed(members);
    }

    void onConnected(ProcessId peer, long nowNanos) {
        disconnected.remove(peer);
        lastUse.put(peer, nowNanos);
    }

    void onDisconnected(ProcessId peer, long nowNanos) {
        disconnected.put(peer, nowNanos);
        lastUse.remove(peer);
    }

    /** Notes that a connection serves more than heartbeats. */
    void onUse(ProcessId peer, long nowNanos) {
        lastUse.put(peer, nowNanos);
    }

    void connect(Collection<Member> alive, Collection<Member> dropped, long nowNanos) {
        Set<ProcessId> connected = Set.copyOf(links.connected());
        Set<ProcessId> wanted = new HashSet<>();
        for (Member neighbour : chosen) {
            wanted.add(neighbour.id());
            if (!connected.contains(neighbour.id()) && mayOpen(neighbour.id(), nowNanos)) {
                links.open(neighbour.address(), neighbour.peerPort());
            }
        }
        contacts.due(alive, dropped, connected.isEmpty(), nowNanos)
                .forEach(address -> links.open(address.host(), address.port()));
        connected.stream()
                .filter(peer -> !wanted.contains(peer) && isIdle(peer, nowNanos) && links.opened(peer))
                .forEach(links::close);
    }

    private boolean isIdle(ProcessId peer, long nowNanos) {
        return nowNanos - lastUse.getOrDefault(peer, nowNanos) > IDLE_NANOS;
    }

    // After a loss the process with the lower name connects first, so that the two do not connect twice.
    private boolean mayOpen(ProcessId peer, long nowNanos) {
        Long since = disconnected.get(peer);
        return since == null || self.compareTo(peer) < 0 || nowNanos - since > RECONNECT_NANOS;
    }
}
