package org.geraniumstand.peer.exchange;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.peer.EncodedMessage;
import org.geraniumstand.peer.PeerMessage;
import org.geraniumstand.peer.codec.MessageCodecs;

/**
 * Simulates several processes on one thread in virtual time, with links that can be cut and processes that can be
 * paused.
 */
final class FakeNetwork {
    static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long TIMEOUT_STEPS = 20;

    private final Random random;
    private final List<Node> nodes = new ArrayList<>();
    private final Set<Set<Integer>> cutLinks = new HashSet<>();
    private long step;

    /** Carries a message or, if there is no content, the end of the connection. */
    private record Packet(Node from, Optional<EncodedMessage> content) {}

    /** Simulates one process. */
    final class Node implements Links, GossipListener {
        private final int number;
        private final ProcessId id;
        private final GossipProtocol gossip;
        private final Map<ProcessId, Node> links = new HashMap<>();
        private final Set<ProcessId> outbound = new HashSet<>();
        private final Map<ProcessId, Long> lastReceivedStep = new HashMap<>();
        private final Deque<Packet> inbox = new ArrayDeque<>();
        private final List<Long> applied = new ArrayList<>();
        private final List<PeerMessage> received = new ArrayList<>();
        private boolean paused;
        private boolean dead;

        private Node(int number, List<GossipProtocol.Seed> seeds) {
            this.number = number;
            this.id = new ProcessId(String.format("node-%03d", number));
            Member self = new Member(id, new DataCentreId("dc"), "127.0.0.1", 1, number, 2, 1, false);
            this.gossip = new GossipProtocol(self, seeds, this, this, new Random(number), now());
        }

        GossipProtocol gossip() {
            return gossip;
        }

        List<Long> applied() {
            return applied;
        }

        List<PeerMessage> received() {
            return received;
        }

        GossipView view() {
            return gossip.view();
        }

        long now() {
            return step * STEP_NANOS;
        }

        void pause(boolean isPaused) {
            paused = isPaused;
        }

        boolean dead() {
            return dead;
        }

        void kill() {
            dead = true;
            Set.copyOf(links.keySet()).forEach(this::close);
        }

        @Override
        public boolean send(ProcessId to, PeerMessage message) {
            Node other = links.get(to);
            if (other == null) {
                return false;
            }
            if (!isCut(number, other.number)) {
                other.inbox.add(new Packet(this, Optional.of(EncodedMessage.of(MessageCodecs.encode(message)))));
            }
            return true;
        }

        @Override
        public void connect(String _host, int port) {
            Node other = nodes.get(port);
            if (other == this || other.dead || other.paused || isCut(number, port) || links.containsKey(other.id)) {
                return;
            }
            outbound.add(other.id);
            establish(other);
            other.establish(this);
        }

        @Override
        public void close(ProcessId peer) {
            Node other = links.remove(peer);
            if (other != null) {
                outbound.remove(peer);
                gossip.onDisconnected(peer, now());
                other.inbox.add(new Packet(this, Optional.empty()));
            }
        }

        @Override
        public Set<ProcessId> connected() {
            return links.keySet();
        }

        @Override
        public boolean isOutbound(ProcessId peer) {
            return outbound.contains(peer);
        }

        @Override
        public void membersChanged(List<Member> _members) {}

        @Override
        public void configurationApplied(Configuration configuration) {
            applied.add(configuration.generation());
        }

        @Override
        public void messageReceived(ProcessId _origin, PeerMessage message) {
            received.add(message);
        }

        private void establish(Node other) {
            links.put(other.id, other);
            lastReceivedStep.put(other.id, step);
            gossip.onConnected(other.id, now());
        }

        private void run() {
            int count = inbox.size();
            for (int i = 0; i < count; i++) {
                receive(inbox.poll());
            }
            List.copyOf(links.keySet()).stream()
                    .filter(peer -> step - lastReceivedStep.get(peer) > TIMEOUT_STEPS)
                    .forEach(this::close);
            gossip.onTick(now());
        }

        private void receive(Packet packet) {
            if (packet.content().isEmpty()) {
                if (links.get(packet.from().id) != null && !packet.from().links.containsKey(id)) {
                    links.remove(packet.from().id);
                    outbound.remove(packet.from().id);
                    gossip.onDisconnected(packet.from().id, now());
                }
                return;
            }
            lastReceivedStep.put(packet.from().id, step);
            MessageCodecs.decode(packet.content().get().bytes())
                    .value()
                    .flatMap(message -> message)
                    .ifPresent(message -> gossip.onMessage(packet.from().id, message, now()));
        }
    }

    FakeNetwork(int count, long seed) {
        this.random = new Random(seed);
        for (int i = 0; i < count; i++) {
            add();
        }
    }

    Node add() {
        int seeds = Math.min(3, nodes.size());
        List<GossipProtocol.Seed> addresses = new ArrayList<>();
        for (int i = 0; i < seeds; i++) {
            addresses.add(new GossipProtocol.Seed("127.0.0.1", i));
        }
        Node node = new Node(nodes.size(), addresses);
        nodes.add(node);
        return node;
    }

    Node node(int index) {
        return nodes.get(Math.floorMod(index, nodes.size()));
    }

    List<Node> nodes() {
        return nodes;
    }

    List<Node> alive() {
        return nodes.stream().filter(node -> !node.dead).toList();
    }

    void setLinkCut(int a, int b, boolean isCut) {
        if (a == b) {
            return;
        }
        if (isCut) {
            cutLinks.add(Set.of(a, b));
        } else {
            cutLinks.remove(Set.of(a, b));
        }
    }

    void heal() {
        cutLinks.clear();
        nodes.forEach(node -> node.pause(false));
    }

    void run(int steps) {
        for (int i = 0; i < steps; i++) {
            step++;
            List<Node> order = new ArrayList<>(nodes);
            Collections.shuffle(order, random);
            order.stream().filter(node -> !node.paused && !node.dead).forEach(Node::run);
        }
    }

    /** Runs until a condition holds; returns the number of steps taken, or -1 if the limit was reached. */
    int runUntil(BooleanSupplier condition, int limit) {
        for (int i = 0; i < limit; i++) {
            if (condition.getAsBoolean()) {
                return i;
            }
            run(1);
        }
        return condition.getAsBoolean() ? limit : -1;
    }

    private boolean isCut(int a, int b) {
        return cutLinks.contains(Set.of(a, b));
    }
}
