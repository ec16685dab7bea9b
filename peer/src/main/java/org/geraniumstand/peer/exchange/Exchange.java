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
import org.geraniumstand.model.evidence.BadMark;
import org.geraniumstand.model.evidence.EvidenceRow;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Confirmation;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.member.MemberNews;
import org.geraniumstand.model.member.MemberState;
import org.geraniumstand.peer.PeerMessage;
import org.geraniumstand.peer.codec.MessageCodecs;

/**
 * Exchanges members, the configuration and findings with other processes.
 *
 * <p>It has no clock, thread or socket of its own and belongs to one thread.
 */
public final class Exchange {
    private static final int NEWS_PER_MESSAGE = 200;

    private final ProcessId self;
    private final Links links;
    private final ExchangeListener listener;
    private final Membership membership;
    private final ConfigurationInForce configuration;
    private final ConfigurationPull pull;
    private final ConfirmationTable confirmations = new ConfirmationTable();
    private final Findings findings = new Findings();
    private final Heartbeats heartbeats = new Heartbeats();
    private final Neighbours neighbours;
    private final Relay relay;
    private List<Member> told = List.of();
    private boolean othersKnown;
    private long lastHeardNanos;

    /**
     * Creates an exchange that knows this process alone.
     *
     * @param own this process
     * @param seeds addresses to try first
     * @param links the connections
     * @param listener told what is found out
     * @param random chooses among addresses
     * @param nowNanos the monotonic time in nanoseconds
     */
    public Exchange(
            Member own, Collection<Seed> seeds, Links links, ExchangeListener listener, Random random, long nowNanos) {
        this.self = own.id();
        this.links = links;
        this.listener = listener;
        this.membership = new Membership(own, nowNanos);
        this.configuration = new ConfigurationInForce(own.level());
        this.pull = new ConfigurationPull(links);
        Contacts contacts = new Contacts(
                seeds.stream()
                        .map(s -> new Contacts.Address(s.host(), s.port()))
                        .toList(),
                random);
        this.neighbours = new Neighbours(self, links, contacts);
        this.relay = new Relay(self);
        this.lastHeardNanos = nowNanos;
    }

    /**
     * An address where a peer may listen.
     *
     * @param host IP number
     * @param port port
     */
    public record Seed(String host, int port) {
        /**
         * Reads an address.
         *
         * @param text the address as {@code IP:port}
         * @return the address, or nothing if the text is none
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
     * A connection to a peer was made and its key checked.
     *
     * @param peer the peer
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onConnected(ProcessId peer, long nowNanos) {
        othersKnown = true;
        neighbours.onConnected(peer, nowNanos);
        hear(peer, nowNanos);
        beat(peer, nowNanos);
        shareTable(peer);
        links.send(peer, new PeerMessage.ConfirmationShare(confirmations.all()));
        findings.all().forEach(message -> links.send(peer, message));
    }

    /**
     * A connection to a peer ended.
     *
     * @param peer the peer
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onDisconnected(ProcessId peer, long nowNanos) {
        neighbours.onDisconnected(peer, nowNanos);
        pull.onDisconnected(peer);
        heartbeats.forget(peer);
    }

    /**
     * A message arrived.
     *
     * @param from the peer that sent or passed it on
     * @param message the message
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onMessage(ProcessId from, PeerMessage message, long nowNanos) {
        hear(from, nowNanos);
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            onHeartbeat(from, heartbeat, nowNanos);
        } else if (message instanceof PeerMessage.MemberShare share) {
            onMembers(from, share.news(), nowNanos);
        } else if (message instanceof PeerMessage.ConfirmationShare share) {
            share.confirmations().forEach(confirmations::merge);
        } else if (message instanceof PeerMessage.ConfigurationAsk ask) {
            answer(from, ask);
        } else if (message instanceof PeerMessage.ConfigurationOffer offer) {
            apply(offer.text(), nowNanos);
            pull.onAnswer(from, configuration.version().generation());
            pull.onTick(configuration.version().generation(), nowNanos);
        } else if (message instanceof PeerMessage.Relayed relayed) {
            onRelayed(from, relayed);
        } else {
            neighbours.onUse(from, nowNanos);
            deliver(from, message);
        }
    }

    /**
     * Lets time pass.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onTick(long nowNanos) {
        spread(membership.onTick(nowNanos), self);
        refreshMembers(nowNanos);
        neighbours.connect(told, membership.dropped(), nowNanos);
        for (ProcessId peer : Set.copyOf(links.connected())) {
            if (heartbeats.isDue(peer, told.size(), nowNanos)) {
                beat(peer, nowNanos);
            }
        }
        pull.onTick(configuration.version().generation(), nowNanos);
        List<Confirmation> fresh = confirmations.takeFresh();
        if (!fresh.isEmpty()) {
            toAll(new PeerMessage.ConfirmationShare(fresh));
        }
        List<EvidenceRow> rows = findings.due(told.size(), nowNanos);
        if (!rows.isEmpty()) {
            broadcast(new PeerMessage.EvidenceShare(rows));
        }
    }

    /**
     * The store listed members.
     *
     * @param members the registered members
     */
    public void onListed(List<Member> members) {
        List<Member> others = members.stream().filter(m -> !m.id().equals(self)).toList();
        othersKnown |= !others.isEmpty();
        neighbours.onListed(others);
    }

    /**
     * The store answered with a configuration.
     *
     * @param text the document, JSON text
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void onStoredConfiguration(String text, long nowNanos) {
        apply(text, nowNanos);
        configuration.confirmText(text, nowNanos);
    }

    /**
     * Sends a message to all members, directly or over others.
     *
     * @param message the message
     */
    public void broadcast(PeerMessage message) {
        if (message instanceof PeerMessage.BadMarkShare share) {
            findings.mark(share.marks());
        }
        toAll(relay.wrap(message));
    }

    /**
     * Sends a message to the connected processes, which do not pass it on.
     *
     * @param message the message
     */
    public void tellConnected(PeerMessage message) {
        toAll(message);
    }

    /**
     * Takes in rows of this process, sent to all members with the next batch.
     *
     * @param rows the rows
     */
    public void shareEvidence(Collection<EvidenceRow> rows) {
        findings.share(rows);
    }

    /**
     * Takes in marks that the store holds.
     *
     * @param marks the marks
     */
    public void onStoredMarks(Collection<BadMark> marks) {
        findings.mark(marks);
    }

    /**
     * Sends a message to one process and opens a connection if none stands.
     *
     * @param to the process
     * @param message the message
     * @param nowNanos the monotonic time in nanoseconds
     * @return whether it was queued on a connection
     */
    public boolean send(ProcessId to, PeerMessage message, long nowNanos) {
        neighbours.onUse(to, nowNanos);
        if (links.send(to, message)) {
            return true;
        }
        member(to).ifPresent(m -> links.open(m.address(), m.peerPort()));
        return false;
    }

    /**
     * Tells all members that this process stops or leaves.
     *
     * @param leaving whether it ends now
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void announceStop(boolean leaving, long nowNanos) {
        Member own = membership.ownUpdate().member();
        Member stopping = new Member(
                own.id(),
                own.dataCentre(),
                own.address(),
                own.callerPort(),
                own.peerPort(),
                own.operatorPort(),
                own.level(),
                true);
        MemberState state = leaving ? MemberState.LEFT : MemberState.ALIVE;
        spread(List.of(membership.updateSelf(stopping, state, nowNanos)), self);
        refreshMembers(nowNanos);
    }

    /** Returns what this process knows now. */
    public ExchangeView view() {
        Map<ProcessId, Long> generations = confirmations.all().stream()
                .collect(Collectors.toMap(Confirmation::process, Confirmation::generation, Math::max));
        return new ExchangeView(
                told,
                generations,
                configuration.version().generation(),
                configuration.text(),
                configuration.confirmedNanos(),
                configuration.blockedLevel(),
                othersKnown,
                lastHeardNanos);
    }

    private void onHeartbeat(ProcessId from, PeerMessage.Heartbeat heartbeat, long nowNanos) {
        pull.onGeneration(from, heartbeat.generation());
        Version other = new Version(heartbeat.generation(), heartbeat.checksum(), 0);
        boolean same = configuration.compare(other, from);
        if (same && heartbeat.confirmationAgeMillis() >= 0) {
            long age = TimeUnit.MILLISECONDS.toNanos(heartbeat.confirmationAgeMillis());
            configuration.confirm(heartbeat.generation(), nowNanos - age);
        }
        pull.onTick(configuration.version().generation(), nowNanos);
        boolean equal = heartbeat.memberDigest() == membership.digest();
        if (heartbeats.differs(from, equal, nowNanos)) {
            shareTable(from);
        }
    }

    private void onMembers(ProcessId from, List<MemberNews> news, long nowNanos) {
        Membership.Response response = membership.onUpdates(news, nowNanos);
        spread(response.spread(), from);
        if (!response.correct().isEmpty()) {
            links.send(from, new PeerMessage.MemberShare(response.correct()));
        }
        refreshMembers(nowNanos);
    }

    private void onRelayed(ProcessId from, PeerMessage.Relayed relayed) {
        if (!relay.isNew(relayed)) {
            return;
        }
        Optional<PeerMessage> content =
                MessageCodecs.decode(relayed.content().bytes()).value().flatMap(message -> message);
        boolean urgent =
                content.filter(PeerMessage.BadMarkShare.class::isInstance).isPresent();
        if (urgent || told.size() > NeighbourChoice.FULL_MESH_MEMBERS) {
            Relay.pass(relayed, from, links);
        }
        content.filter(message -> !(message instanceof PeerMessage.Relayed))
                .ifPresent(message -> deliver(relayed.origin(), message));
    }

    private void deliver(ProcessId origin, PeerMessage message) {
        if (message instanceof PeerMessage.EvidenceShare share) {
            findings.merge(share.rows());
        } else if (message instanceof PeerMessage.BadMarkShare share) {
            findings.mark(share.marks());
        }
        listener.received(origin, message);
    }

    private void hear(ProcessId from, long nowNanos) {
        lastHeardNanos = nowNanos;
        membership
                .onContact(from, nowNanos)
                .ifPresent(news -> links.send(from, new PeerMessage.MemberShare(List.of(news))));
    }

    private void answer(ProcessId from, PeerMessage.ConfigurationAsk ask) {
        configuration
                .text()
                .filter(_text -> configuration.version().generation() > ask.aboveGeneration())
                .ifPresent(text -> links.send(from, new PeerMessage.ConfigurationOffer(text)));
    }

    private void apply(String text, long nowNanos) {
        Optional<Configuration> applied = configuration.offer(text);
        if (applied.isEmpty()) {
            return;
        }
        confirmations.merge(new Confirmation(self, applied.get().generation()));
        listener.configurationApplied(applied.get());
        Set.copyOf(links.connected()).forEach(peer -> beat(peer, nowNanos));
    }

    private void beat(ProcessId peer, long nowNanos) {
        long age = configuration
                .confirmedNanos()
                .map(at -> TimeUnit.NANOSECONDS.toMillis(nowNanos - at))
                .orElse(-1L);
        Version version = configuration.version();
        links.send(
                peer,
                new PeerMessage.Heartbeat(
                        membership.ownUpdate().beat(),
                        membership.digest(),
                        version.generation(),
                        version.checksum(),
                        age));
        heartbeats.onSent(peer, nowNanos);
    }

    private void shareTable(ProcessId peer) {
        List<MemberNews> table = membership.allUpdates();
        for (int from = 0; from < table.size(); from += NEWS_PER_MESSAGE) {
            int to = Math.min(table.size(), from + NEWS_PER_MESSAGE);
            links.send(peer, new PeerMessage.MemberShare(table.subList(from, to)));
        }
    }

    private void spread(List<MemberNews> news, ProcessId except) {
        if (news.isEmpty()) {
            return;
        }
        PeerMessage message = new PeerMessage.MemberShare(news);
        Set.copyOf(links.connected()).stream()
                .filter(peer -> !peer.equals(except))
                .forEach(peer -> links.send(peer, message));
    }

    private void toAll(PeerMessage message) {
        Set.copyOf(links.connected()).forEach(peer -> links.send(peer, message));
    }

    private void refreshMembers(long nowNanos) {
        if (membership.alive().equals(told)) {
            return;
        }
        told = membership.alive();
        othersKnown |= told.size() > 1;
        confirmations.retain(told);
        membership.setNeighbours(neighbours.onMembers(told), nowNanos);
        listener.membersChanged(told);
    }

    private Optional<Member> member(ProcessId id) {
        return told.stream().filter(m -> m.id().equals(id)).findFirst();
    }
}
