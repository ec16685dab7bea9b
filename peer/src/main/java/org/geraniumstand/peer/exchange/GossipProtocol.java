package org.geraniumstand.peer.exchange;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.geraniumstand.decisions.membership.ConfigurationAcceptance.Version;
import org.geraniumstand.decisions.membership.Membership;
import org.geraniumstand.decisions.membership.NeighbourChoice;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.evidence.BadVersion;
import org.geraniumstand.model.evidence.EvidenceRow;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.AppliedGeneration;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.member.MemberState;
import org.geraniumstand.model.member.MemberUpdate;
import org.geraniumstand.peer.PeerMessage;
import org.geraniumstand.peer.codec.MessageCodecs;

/**
 * Spreads membership, the configuration, evidence about service versions and bad versions among the processes by
 * gossip.
 *
 * <p>Uses no clock, thread or socket of its own; confined to one thread.
 */
public final class GossipProtocol {
    private static final int UPDATES_PER_MESSAGE = 200;

    private final ProcessId self;
    private final Links links;
    private final GossipListener listener;
    private final Membership membership;
    private final ConfigurationInForce configuration;
    private final ConfigurationPull pull;
    private final AppliedGenerations appliedGenerations = new AppliedGenerations();
    private final CanaryState canaryState = new CanaryState();
    private final Heartbeats heartbeats = new Heartbeats();
    private final NeighbourConnections neighbourConnections;
    private final BroadcastForwarder broadcasts;
    private List<Member> liveMembers = List.of();
    private boolean peersSeen;
    private long lastReceivedNanos;

    /**
     * Creates an instance whose only member is this process.
     *
     * @param own member entry of this process
     * @param seeds addresses of peers to contact at startup
     * @param links connections to the peers
     * @param listener receives membership changes, applied configurations and messages
     * @param random source of the random choice among addresses
     * @param nowNanos the monotonic time in nanoseconds
     */
    public GossipProtocol(
            Member own, Collection<Seed> seeds, Links links, GossipListener listener, Random random, long nowNanos) {
        this.self = own.id();
        this.links = links;
        this.listener = listener;
        this.membership = new Membership(own, nowNanos);
        this.configuration = new ConfigurationInForce(own.level());
        this.pull = new ConfigurationPull(links);
        PeerDiscovery discovery = new PeerDiscovery(
                seeds.stream()
                        .map(seed -> new PeerDiscovery.Address(seed.host(), seed.port()))
                        .toList(),
                random);
        this.neighbourConnections = new NeighbourConnections(self, links, discovery);
        this.broadcasts = new BroadcastForwarder(self);
        this.lastReceivedNanos = nowNanos;
    }

    /**
     * Represents an address where a peer may listen.
     *
     * @param host IP address
     * @param port TCP port
     */
    public record Seed(String host, int port) {
        /**
         * Parses an address.
         *
         * @param text the address in the form {@code IP:port}
         * @return the address, or empty if the text is malformed
         */
        public static Optional<Seed> parse(String text) {
            int colon = text.lastIndexOf(':');
            try {
                return Optional.of(new Seed(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1))));
            } catch (IndexOutOfBoundsException | NumberFormatException _e) {
                return Optional.empty();
            }
        }
    }

    /**
     * Handles a connection to a peer whose handshake has completed.
     *
     * @param peer the peer
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onConnected(ProcessId peer, long nowNanos) {
        peersSeen = true;
        neighbourConnections.onConnected(peer, nowNanos);
        recordReceipt(peer, nowNanos);
        sendHeartbeat(peer, nowNanos);
        sendMemberTable(peer);
        links.send(peer, new PeerMessage.AppliedGenerationsUpdate(appliedGenerations.all()));
        canaryState.toMessages().forEach(message -> links.send(peer, message));
    }

    /**
     * Handles the end of a connection to a peer.
     *
     * @param peer the peer
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onDisconnected(ProcessId peer, long nowNanos) {
        neighbourConnections.onDisconnected(peer, nowNanos);
        pull.onDisconnected(peer);
        heartbeats.remove(peer);
    }

    /**
     * Handles a received message.
     *
     * @param from the peer that sent or forwarded the message
     * @param message the message
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onMessage(ProcessId from, PeerMessage message, long nowNanos) {
        recordReceipt(from, nowNanos);
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            onHeartbeat(from, heartbeat, nowNanos);
        } else if (message instanceof PeerMessage.MembershipUpdate update) {
            onMembers(from, update.updates(), nowNanos);
        } else if (message instanceof PeerMessage.AppliedGenerationsUpdate update) {
            update.generations().forEach(appliedGenerations::merge);
        } else if (message instanceof PeerMessage.ConfigurationRequest request) {
            respond(from, request);
        } else if (message instanceof PeerMessage.ConfigurationResponse response) {
            apply(response.text(), nowNanos);
            pull.onResponse(from, configuration.version().generation());
            pull.onTick(configuration.version().generation(), nowNanos);
        } else if (message instanceof PeerMessage.BroadcastEnvelope envelope) {
            onBroadcast(from, envelope);
        } else {
            neighbourConnections.onActivity(from, nowNanos);
            deliver(from, message);
        }
    }

    /**
     * Runs the periodic work: failure detection, connections, heartbeats and batched updates.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onTick(long nowNanos) {
        disseminate(membership.onTick(nowNanos), self);
        refreshMembers(nowNanos);
        neighbourConnections.reconcile(liveMembers, membership.dropped(), nowNanos);
        for (ProcessId peer : Set.copyOf(links.connected())) {
            if (heartbeats.isDue(peer, liveMembers.size(), nowNanos)) {
                sendHeartbeat(peer, nowNanos);
            }
        }
        pull.onTick(configuration.version().generation(), nowNanos);
        List<AppliedGeneration> unsent = appliedGenerations.takeUnsent();
        if (!unsent.isEmpty()) {
            sendToEachPeer(new PeerMessage.AppliedGenerationsUpdate(unsent));
        }
        List<EvidenceRow> rows = canaryState.takeDue(liveMembers.size(), nowNanos);
        if (!rows.isEmpty()) {
            broadcast(new PeerMessage.EvidenceUpdate(rows));
        }
    }

    /**
     * Sets the members that are registered in the store as candidates for connections.
     *
     * @param members the registered members
     */
    public void onListedMembers(List<Member> members) {
        List<Member> others = members.stream().filter(m -> !m.id().equals(self)).toList();
        peersSeen |= !others.isEmpty();
        neighbourConnections.onListedMembers(others);
    }

    /**
     * Applies the configuration read from the store if it is newer, or confirms the one in force if it is the same.
     *
     * @param text the configuration as JSON text
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onStoredConfiguration(String text, long nowNanos) {
        apply(text, nowNanos);
        configuration.confirmIfStored(text, nowNanos);
    }

    /**
     * Broadcasts a message to all members; members without a direct connection receive it through others.
     *
     * @param message the message
     */
    public void broadcast(PeerMessage message) {
        if (message instanceof PeerMessage.BadVersionsUpdate update) {
            canaryState.addBadVersions(update.badVersions());
        }
        sendToEachPeer(broadcasts.wrap(message));
    }

    /**
     * Sends a message to the connected processes, which do not forward it.
     *
     * @param message the message
     */
    public void sendToConnected(PeerMessage message) {
        sendToEachPeer(message);
    }

    /**
     * Adds evidence recorded by this process, which is broadcast with the next batch.
     *
     * @param rows the rows that changed
     */
    public void publishEvidence(Collection<EvidenceRow> rows) {
        canaryState.addOwn(rows);
    }

    /**
     * Adds bad versions read from the store.
     *
     * @param badVersions the bad versions
     */
    public void onStoredBadVersions(Collection<BadVersion> badVersions) {
        canaryState.addBadVersions(badVersions);
    }

    /**
     * Sends a message to one process and opens a connection if there is none.
     *
     * @param to the receiving process
     * @param message the message
     * @param nowNanos the monotonic time in nanoseconds
     * @return whether the message was queued on a connection
     */
    public boolean send(ProcessId to, PeerMessage message, long nowNanos) {
        neighbourConnections.onActivity(to, nowNanos);
        if (links.send(to, message)) {
            return true;
        }
        member(to).ifPresent(m -> links.connect(m.address(), m.peerPort()));
        return false;
    }

    /**
     * Announces to all members that this process is draining or has shut down.
     *
     * @param ending true if the process ends now, false if it is still draining
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void announceShutdown(boolean ending, long nowNanos) {
        Member own = membership.ownUpdate().member();
        Member updated = new Member(
                own.id(),
                own.dataCentre(),
                own.address(),
                own.callerPort(),
                own.peerPort(),
                own.operatorPort(),
                own.level(),
                true);
        MemberState state = ending ? MemberState.LEFT : MemberState.ALIVE;
        disseminate(List.of(membership.updateSelf(updated, state, nowNanos)), self);
        refreshMembers(nowNanos);
    }

    /** Returns a snapshot of the current state. */
    public GossipView view() {
        Map<ProcessId, Long> generations = appliedGenerations.all().stream()
                .collect(Collectors.toMap(AppliedGeneration::process, AppliedGeneration::generation, Math::max));
        return new GossipView(
                liveMembers,
                generations,
                configuration.version().generation(),
                configuration.text(),
                configuration.confirmedNanos(),
                configuration.blockedLevel(),
                peersSeen,
                lastReceivedNanos);
    }

    private void onHeartbeat(ProcessId from, PeerMessage.Heartbeat heartbeat, long nowNanos) {
        pull.onGeneration(from, heartbeat.generation());
        Version other = new Version(heartbeat.generation(), heartbeat.checksum(), 0);
        boolean sameDocument = configuration.matchesPeer(other, from);
        if (sameDocument && heartbeat.confirmationAgeMillis() >= 0) {
            long age = TimeUnit.MILLISECONDS.toNanos(heartbeat.confirmationAgeMillis());
            configuration.confirm(heartbeat.generation(), nowNanos - age);
        }
        pull.onTick(configuration.version().generation(), nowNanos);
        boolean sameDigest = heartbeat.memberDigest() == membership.digest();
        if (heartbeats.needsSync(from, sameDigest, nowNanos)) {
            sendMemberTable(from);
        }
    }

    private void onMembers(ProcessId from, List<MemberUpdate> updates, long nowNanos) {
        Membership.Response response = membership.onUpdates(updates, nowNanos);
        disseminate(response.broadcasts(), from);
        if (!response.corrections().isEmpty()) {
            links.send(from, new PeerMessage.MembershipUpdate(response.corrections()));
        }
        refreshMembers(nowNanos);
    }

    private void onBroadcast(ProcessId from, PeerMessage.BroadcastEnvelope envelope) {
        if (!broadcasts.isNew(envelope)) {
            return;
        }
        Optional<PeerMessage> content =
                MessageCodecs.decode(envelope.content().bytes()).value().flatMap(message -> message);
        boolean isBadVersions =
                content.filter(PeerMessage.BadVersionsUpdate.class::isInstance).isPresent();
        if (isBadVersions || liveMembers.size() > NeighbourChoice.FULL_MESH_MEMBERS) {
            BroadcastForwarder.forward(envelope, from, links);
        }
        content.filter(message -> !(message instanceof PeerMessage.BroadcastEnvelope))
                .ifPresent(message -> deliver(envelope.origin(), message));
    }

    private void deliver(ProcessId origin, PeerMessage message) {
        if (message instanceof PeerMessage.EvidenceUpdate update) {
            canaryState.merge(update.rows());
        } else if (message instanceof PeerMessage.BadVersionsUpdate update) {
            canaryState.addBadVersions(update.badVersions());
        }
        listener.messageReceived(origin, message);
    }

    private void recordReceipt(ProcessId from, long nowNanos) {
        lastReceivedNanos = nowNanos;
        membership
                .onContact(from, nowNanos)
                .ifPresent(update -> links.send(from, new PeerMessage.MembershipUpdate(List.of(update))));
    }

    private void respond(ProcessId from, PeerMessage.ConfigurationRequest request) {
        configuration
                .text()
                .filter(_text -> configuration.version().generation() > request.afterGeneration())
                .ifPresent(text -> links.send(from, new PeerMessage.ConfigurationResponse(text)));
    }

    private void apply(String text, long nowNanos) {
        Optional<Configuration> applied = configuration.tryApply(text);
        if (applied.isEmpty()) {
            return;
        }
        appliedGenerations.merge(new AppliedGeneration(self, applied.get().generation()));
        listener.configurationApplied(applied.get());
        Set.copyOf(links.connected()).forEach(peer -> sendHeartbeat(peer, nowNanos));
    }

    private void sendHeartbeat(ProcessId peer, long nowNanos) {
        long age = configuration
                .confirmedNanos()
                .map(at -> TimeUnit.NANOSECONDS.toMillis(nowNanos - at))
                .orElse(-1L);
        Version version = configuration.version();
        links.send(
                peer,
                new PeerMessage.Heartbeat(
                        membership.ownUpdate().incarnation(),
                        membership.digest(),
                        version.generation(),
                        version.checksum(),
                        age));
        heartbeats.onSent(peer, nowNanos);
    }

    private void sendMemberTable(ProcessId peer) {
        List<MemberUpdate> table = membership.allUpdates();
        for (int from = 0; from < table.size(); from += UPDATES_PER_MESSAGE) {
            int to = Math.min(table.size(), from + UPDATES_PER_MESSAGE);
            links.send(peer, new PeerMessage.MembershipUpdate(table.subList(from, to)));
        }
    }

    private void disseminate(List<MemberUpdate> updates, ProcessId except) {
        if (updates.isEmpty()) {
            return;
        }
        PeerMessage message = new PeerMessage.MembershipUpdate(updates);
        Set.copyOf(links.connected()).stream()
                .filter(peer -> !peer.equals(except))
                .forEach(peer -> links.send(peer, message));
    }

    private void sendToEachPeer(PeerMessage message) {
        Set.copyOf(links.connected()).forEach(peer -> links.send(peer, message));
    }

    private void refreshMembers(long nowNanos) {
        if (membership.alive().equals(liveMembers)) {
            return;
        }
        liveMembers = membership.alive();
        peersSeen |= liveMembers.size() > 1;
        appliedGenerations.prune(liveMembers);
        membership.setNeighbours(neighbourConnections.onMembers(liveMembers), nowNanos);
        listener.membersChanged(liveMembers);
    }

    private Optional<Member> member(ProcessId id) {
        return liveMembers.stream().filter(m -> m.id().equals(id)).findFirst();
    }
}
