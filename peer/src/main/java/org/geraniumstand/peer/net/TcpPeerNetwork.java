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
import org.geraniumstand.model.evidence.BadMark;
import org.geraniumstand.model.evidence.EvidenceRow;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.peer.PeerMessage;
import org.geraniumstand.peer.PeerNetwork;
import org.geraniumstand.peer.PeerSettings;
import org.geraniumstand.peer.SharedFacts;
import org.geraniumstand.peer.exchange.Exchange;
import org.geraniumstand.peer.exchange.ExchangeListener;
import org.geraniumstand.peer.exchange.ExchangeView;
import org.geraniumstand.support.log.Log;

/** The task that owns all sockets to peers and the exchange of facts: one thread, told by messages. */
public final class TcpPeerNetwork implements PeerNetwork, SharedFacts {
    private static final Log LOG = Log.of(TcpPeerNetwork.class);
    private static final long TICK_MILLIS = 100;
    private static final long CLOSE_MILLIS = 1_000;
    private static final int WAITING_COMMANDS = 20_000;

    private final PeerLoop loop;
    private final Member self;
    private final Exchange exchange;
    private final Queue<Runnable> commands = new ConcurrentLinkedQueue<>();
    private final AtomicInteger waiting = new AtomicInteger();
    private final Map<Class<?>, BiConsumer<ProcessId, PeerMessage>> handlers = new ConcurrentHashMap<>();
    private final AtomicReference<ExchangeView> view = new AtomicReference<>();
    private final AtomicReference<Consumer<List<Member>>> onMembers = new AtomicReference<>(_members -> {});
    private final AtomicReference<Consumer<Configuration>> onConfiguration = new AtomicReference<>(_document -> {});
    private final CountDownLatch ended = new CountDownLatch(1);
    private final Thread thread;
    private boolean running = true;
    private long tickNanos;

    private TcpPeerNetwork(PeerSettings settings) throws IOException {
        Member given = settings.self();
        this.loop = new PeerLoop(given.address(), settings);
        this.self = new Member(
                given.id(),
                given.dataCentre(),
                given.address(),
                given.callerPort(),
                loop.sockets().port(),
                given.operatorPort(),
                given.level(),
                given.stopping());
        this.tickNanos = System.nanoTime();
        this.exchange = new Exchange(
                self, settings.seeds(), loop, new Listener(), new Random(settings.randomSeed()), tickNanos);
        loop.start(new Events());
        this.view.set(exchange.view());
        this.thread = new Thread(this::run, "peers");
        thread.setDaemon(true);
    }

    /**
     * Opens the listener; nothing is accepted before {@link #start}, so that handlers can be set first.
     *
     * @param settings the settings
     * @throws UncheckedIOException if the address cannot be listened on
     */
    public static TcpPeerNetwork open(PeerSettings settings) {
        try {
            return new TcpPeerNetwork(settings);
        } catch (IOException e) {
            throw new UncheckedIOException("the peer listener cannot be opened", e);
        }
    }

    /** Starts to accept and to look for peers. */
    public void start() {
        thread.start();
    }

    /** Returns this process as its peers know it. */
    public Member self() {
        return self;
    }

    /** Returns the bytes sent and received over all connections since the start. */
    public PeerTraffic traffic() {
        return new PeerTraffic(
                loop.sockets().sentBytes(),
                loop.sockets().receivedBytes(),
                loop.connected().size());
    }

    @Override
    public boolean send(ProcessId to, PeerMessage message) {
        if (to.equals(self.id())) {
            return post(() -> dispatch(to, message));
        }
        boolean known = loop.isConnected(to) || members().stream().anyMatch(m -> m.id().equals(to));
        return known && loop.hasRoom(to) && post(() -> deliver(to, message));
    }

    @Override
    public void broadcast(PeerMessage message) {
        post(() -> exchange.broadcast(message));
    }

    /**
     * Sends a message to the connected processes only; where there are many, these are a few neighbours.
     *
     * @param message the message
     */
    public void tellConnected(PeerMessage message) {
        post(() -> exchange.tellConnected(message));
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
    public ExchangeView view() {
        return view.get();
    }

    @Override
    public void onMembers(Consumer<List<Member>> consumer) {
        onMembers.set(consumer);
        post(() -> consumer.accept(exchange.view().members()));
    }

    @Override
    public void onConfiguration(Consumer<Configuration> consumer) {
        onConfiguration.set(consumer);
    }

    @Override
    public void offerStored(String text) {
        post(() -> {
            exchange.onStoredConfiguration(text, System.nanoTime());
            view.set(exchange.view());
        });
    }

    @Override
    public void offerListed(List<Member> members) {
        post(() -> exchange.onListed(members));
    }

    @Override
    public void offerMarks(List<BadMark> marks) {
        post(() -> exchange.onStoredMarks(marks));
    }

    @Override
    public void shareEvidence(Collection<EvidenceRow> rows) {
        post(() -> exchange.shareEvidence(rows));
    }

    @Override
    public void announceStop() {
        post(() -> exchange.announceStop(false, System.nanoTime()));
    }

    @Override
    public void close() {
        post(() -> {
            exchange.announceStop(true, System.nanoTime());
            running = false;
        });
        try {
            if (!ended.await(CLOSE_MILLIS, TimeUnit.MILLISECONDS)) {
                LOG.warn("peers-close-slow", Field.of("process", self.id()));
            }
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean post(Runnable command) {
        if (waiting.get() >= WAITING_COMMANDS) {
            return false;
        }
        waiting.incrementAndGet();
        commands.add(command);
        loop.sockets().wakeUp();
        return true;
    }

    private void deliver(ProcessId to, PeerMessage message) {
        if (!exchange.send(to, message, System.nanoTime())) {
            loop.hold(to, message);
        }
    }

    private void run() {
        try {
            while (running) {
                step();
            }
        } catch (IOException e) {
            LOG.warn("peers-failed", Field.of("reason", e));
        } finally {
            loop.sockets().closeAll();
            ended.countDown();
        }
    }

    // A fault in the handling of one message must not end the exchange with all peers.
    private void step() throws IOException {
        try {
            loop.sockets().await(TICK_MILLIS);
            runCommands();
            tick(System.nanoTime());
        } catch (RuntimeException e) {
            LOG.warn("peers-step-failed", Field.of("reason", e));
        }
    }

    private void tick(long now) {
        if (now - tickNanos < TimeUnit.MILLISECONDS.toNanos(TICK_MILLIS)) {
            return;
        }
        tickNanos = now;
        loop.expire(now);
        exchange.onTick(now);
        view.set(exchange.view());
    }

    private void runCommands() {
        Runnable command = commands.poll();
        while (command != null) {
            waiting.decrementAndGet();
            command.run();
            command = commands.poll();
        }
    }

    private void dispatch(ProcessId origin, PeerMessage message) {
        BiConsumer<ProcessId, PeerMessage> handler = handlers.get(message.getClass());
        if (handler != null) {
            handler.accept(origin, message);
        }
    }

    private final class Events implements PeerLoop.Handler {
        @Override
        public void onConnected(ProcessId peer, long nowNanos) {
            LOG.debug("peer-connected", Field.of("peer", peer));
            exchange.onConnected(peer, nowNanos);
        }

        @Override
        public void onMessage(ProcessId peer, PeerMessage message, long nowNanos) {
            exchange.onMessage(peer, message, nowNanos);
        }

        @Override
        public void onDisconnected(ProcessId peer, long nowNanos) {
            LOG.debug("peer-disconnected", Field.of("peer", peer));
            exchange.onDisconnected(peer, nowNanos);
        }
    }

    private final class Listener implements ExchangeListener {
        @Override
        public void membersChanged(List<Member> members) {
            LOG.info("members-changed", Field.of("count", members.size()));
            onMembers.get().accept(members);
        }

        @Override
        public void configurationApplied(Configuration configuration) {
            onConfiguration.get().accept(configuration);
        }

        @Override
        public void received(ProcessId origin, PeerMessage message) {
            dispatch(origin, message);
        }
    }
}
