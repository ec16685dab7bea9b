package org.geraniumstand.peer.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.evidence.BadVersion;
import org.geraniumstand.model.evidence.EvidenceRow;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.peer.PeerMessage;
import org.geraniumstand.peer.PeerNetwork;
import org.geraniumstand.peer.PeerSettings;
import org.geraniumstand.peer.SharedState;
import org.geraniumstand.peer.exchange.GossipListener;
import org.geraniumstand.peer.exchange.GossipProtocol;
import org.geraniumstand.peer.exchange.GossipView;
import org.geraniumstand.support.log.Log;
import org.geraniumstand.support.task.StepGuard;

/** Runs the connections to peers and the gossip protocol on a single thread, which executes queued commands. */
public final class TcpPeerNetwork implements PeerNetwork, SharedState {
    private static final Log LOG = Log.of(TcpPeerNetwork.class);
    private static final long TICK_MILLIS = 100;
    private static final long CLOSE_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_QUEUED_COMMANDS = 20_000;

    private final StepGuard guard = new StepGuard("peers");
    private final ConnectionManager connections;
    private final Member self;
    private final GossipProtocol gossip;
    private final Queue<Runnable> commands = new ConcurrentLinkedQueue<>();
    private final AtomicInteger queuedCommands = new AtomicInteger();
    private final Map<Class<?>, BiConsumer<ProcessId, PeerMessage>> handlers = new ConcurrentHashMap<>();
    private final AtomicReference<GossipView> view = new AtomicReference<>();
    private final AtomicReference<Consumer<List<Member>>> membersConsumer = new AtomicReference<>(_members -> {});
    private final AtomicReference<Consumer<Configuration>> configurationConsumer =
            new AtomicReference<>(_document -> {});
    private final CountDownLatch terminated = new CountDownLatch(1);
    private final Thread thread;
    private boolean running = true;
    private long lastTickNanos;

    private TcpPeerNetwork(PeerSettings settings) throws IOException {
        Member configured = settings.self();
        this.connections = new ConnectionManager(configured.address(), settings);
        this.self = new Member(
                configured.id(),
                configured.dataCentre(),
                configured.address(),
                configured.callerPort(),
                connections.sockets().port(),
                configured.operatorPort(),
                configured.level(),
                configured.stopping());
        this.lastTickNanos = System.nanoTime();
        this.gossip = new GossipProtocol(
                self,
                settings.seeds(),
                connections,
                new GossipEvents(),
                new Random(settings.randomSeed()),
                lastTickNanos);
        connections.start(new ConnectionEvents());
        this.view.set(gossip.view());
        this.thread = new Thread(this::run, "peers");
        thread.setDaemon(true);
    }

    /**
     * Binds the listener; no connection is accepted before {@link #start}, so that handlers can be registered first.
     *
     * @param settings settings of the network
     * @throws UncheckedIOException if the listener cannot be bound to the address
     */
    public static TcpPeerNetwork open(PeerSettings settings) {
        try {
            return new TcpPeerNetwork(settings);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot bind the peer listener", e);
        }
    }

    /** Starts to accept connections and to discover peers. */
    public void start() {
        thread.start();
    }

    /** Returns the member entry of this process, with the port that the listener is bound to. */
    public Member self() {
        return self;
    }

    /** Returns the traffic of all connections since startup. */
    public PeerTraffic traffic() {
        return new PeerTraffic(
                connections.sockets().sentBytes(),
                connections.sockets().receivedBytes(),
                connections.connected().size());
    }

    /** Returns the number of steps of this network and its handlers that threw an exception. */
    public long failures() {
        return guard.failures();
    }

    @Override
    public boolean send(ProcessId to, PeerMessage message) {
        if (to.equals(self.id())) {
            return post(() -> dispatch(to, message));
        }
        boolean reachable = connections.isConnected(to) || members().stream().anyMatch(m -> m.id().equals(to));
        return reachable && connections.hasRoom(to) && post(() -> deliver(to, message));
    }

    @Override
    public void broadcast(PeerMessage message) {
        post(() -> gossip.broadcast(message));
    }

    /**
     * Sends a message only to the connected processes, which in a large cluster are a few neighbours.
     *
     * @param message the message
     */
    public void sendToConnected(PeerMessage message) {
        post(() -> gossip.sendToConnected(message));
    }

    @Override
    public <M extends PeerMessage> void subscribe(Class<M> type, BiConsumer<ProcessId, M> handler) {
        handlers.put(type, (from, message) -> handler.accept(from, type.cast(message)));
    }

    @Override
    public List<Member> members() {
        return view.get().members();
    }

    @Override
    public GossipView view() {
        return view.get();
    }

    @Override
    public void setMembersConsumer(Consumer<List<Member>> consumer) {
        membersConsumer.set(consumer);
        post(() -> consumer.accept(gossip.view().members()));
    }

    @Override
    public void setConfigurationConsumer(Consumer<Configuration> consumer) {
        configurationConsumer.set(consumer);
    }

    @Override
    public void onStoredConfiguration(String text) {
        post(() -> {
            gossip.onStoredConfiguration(text, System.nanoTime());
            view.set(gossip.view());
        });
    }

    @Override
    public void onListedMembers(List<Member> members) {
        post(() -> gossip.onListedMembers(members));
    }

    @Override
    public void onStoredBadVersions(List<BadVersion> badVersions) {
        post(() -> gossip.onStoredBadVersions(badVersions));
    }

    @Override
    public void publishEvidence(Collection<EvidenceRow> rows) {
        post(() -> gossip.publishEvidence(rows));
    }

    @Override
    public void announceShutdown() {
        post(() -> gossip.announceShutdown(false, System.nanoTime()));
    }

    @Override
    public void close() {
        post(() -> {
            gossip.announceShutdown(true, System.nanoTime());
            running = false;
        });
        try {
            if (!terminated.await(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                LOG.warn("peers-close-slow", Field.of("process", self.id()));
            }
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean post(Runnable command) {
        if (queuedCommands.get() >= MAX_QUEUED_COMMANDS) {
            return false;
        }
        queuedCommands.incrementAndGet();
        commands.add(command);
        connections.sockets().wakeUp();
        return true;
    }

    private void deliver(ProcessId to, PeerMessage message) {
        if (!gossip.send(to, message, System.nanoTime())) {
            connections.enqueue(to, message);
        }
    }

    private void run() {
        try {
            while (running) {
                runOnce();
            }
        } catch (IOException e) {
            LOG.warn("peers-failed", Field.of("reason", e));
        } finally {
            connections.sockets().closeAll();
            terminated.countDown();
        }
    }

    // An exception in the handling of one message must not stop the communication with all peers.
    private void runOnce() throws IOException {
        try {
            connections.sockets().await(TICK_MILLIS);
            runCommands();
            tick(System.nanoTime());
        } catch (RuntimeException e) {
            LOG.warn("peers-step-failed", Field.of("reason", e));
        }
    }

    private void tick(long now) {
        if (now - lastTickNanos < TimeUnit.MILLISECONDS.toNanos(TICK_MILLIS)) {
            return;
        }
        lastTickNanos = now;
        guard.run("expire", now, () -> connections.expire(now));
        guard.run("gossip", now, () -> gossip.onTick(now));
        view.set(gossip.view());
    }

    private void runCommands() {
        Runnable command = commands.poll();
        while (command != null) {
            queuedCommands.decrementAndGet();
            guard.run("command", "", command);
            command = commands.poll();
        }
    }

    private void dispatch(ProcessId origin, PeerMessage message) {
        BiConsumer<ProcessId, PeerMessage> handler = handlers.get(message.getClass());
        if (handler != null) {
            guard.run("message", message.getClass().getSimpleName(), () -> handler.accept(origin, message));
        }
    }

    private final class ConnectionEvents implements ConnectionManager.Handler {
        @Override
        public void onConnected(ProcessId peer, long nowNanos) {
            LOG.debug("peer-connected", Field.of("peer", peer));
            guard.run("connected", peer, () -> gossip.onConnected(peer, nowNanos));
        }

        @Override
        public void onMessage(ProcessId peer, PeerMessage message, long nowNanos) {
            guard.run("message", peer, () -> gossip.onMessage(peer, message, nowNanos));
        }

        @Override
        public void onDisconnected(ProcessId peer, long nowNanos) {
            LOG.debug("peer-disconnected", Field.of("peer", peer));
            guard.run("disconnected", peer, () -> gossip.onDisconnected(peer, nowNanos));
        }
    }

    private final class GossipEvents implements GossipListener {
        @Override
        public void membersChanged(List<Member> members) {
            LOG.info("members-changed", Field.of("count", members.size()));
            guard.run("members", members.size(), () -> membersConsumer.get().accept(members));
        }

        @Override
        public void configurationApplied(Configuration configuration) {
            guard.run(
                    "configuration",
                    configuration.generation(),
                    () -> configurationConsumer.get().accept(configuration));
        }

        @Override
        public void messageReceived(ProcessId origin, PeerMessage message) {
            dispatch(origin, message);
        }
    }
}
