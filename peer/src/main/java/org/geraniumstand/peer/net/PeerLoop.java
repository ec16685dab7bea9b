package org.geraniumstand.peer.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.peer.PeerMessage;
import org.geraniumstand.peer.PeerSettings;
import org.geraniumstand.peer.codec.MessageCodecs;
import org.geraniumstand.peer.exchange.Links;

/** Keeps one connection a peer and turns what the sockets bring into calls of a handler; belongs to one thread. */
final class PeerLoop implements Links, SocketEvents {
    // A connection that was quiet for this long may be dead on one side, so that a new one replaces it.
    private static final long QUIET_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);
    private static final long WAIT_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final int WAITING_MESSAGES = 256;
    private static final Pattern IP_NUMBER = Pattern.compile("[0-9.]+|[0-9a-fA-F.]*:[0-9a-fA-F.:]+");

    private final Sockets sockets;
    private final Attempts attempts;
    private final ProcessId self;
    private final Map<ProcessId, PeerConnection> current = new ConcurrentHashMap<>();
    private final Map<ProcessId, Deque<Waiting>> waiting = new HashMap<>();
    private final Set<InetSocketAddress> own = new HashSet<>();
    private Handler handler;
    private PeerMessage lastMessage;
    private byte[] lastEncoded;

    private record Waiting(PeerMessage message, long sinceNanos) {}

    PeerLoop(String host, PeerSettings settings) throws IOException {
        this.self = settings.self().id();
        this.attempts = new Attempts(new Random(settings.randomSeed()));
        this.sockets = new Sockets(
                host,
                settings.port(),
                settings.sharedKey(),
                self,
                settings.self().level(),
                this);
    }

    /** Told about peers; each peer has one connection at a time. */
    interface Handler {
        void onConnected(ProcessId peer, long nowNanos);

        void onMessage(ProcessId peer, PeerMessage message, long nowNanos);

        void onDisconnected(ProcessId peer, long nowNanos);
    }

    void start(Handler told) {
        handler = told;
    }

    Sockets sockets() {
        return sockets;
    }

    /** Returns whether a connection stands and has room; may be called by any thread. */
    boolean hasRoom(ProcessId peer) {
        PeerConnection connection = current.get(peer);
        return connection == null || connection.queue().hasRoom(0);
    }

    /** Returns whether a connection stands; may be called by any thread. */
    boolean isConnected(ProcessId peer) {
        return current.containsKey(peer);
    }

    /** Keeps a message until the connection that is being opened stands. */
    void hold(ProcessId peer, PeerMessage message) {
        Deque<Waiting> queue = waiting.computeIfAbsent(peer, _id -> new ArrayDeque<>());
        queue.addLast(new Waiting(message, System.nanoTime()));
        if (queue.size() > WAITING_MESSAGES) {
            queue.pollFirst();
        }
    }

    void expire(long nowNanos) {
        sockets.expire(nowNanos);
        waiting.values().removeIf(queue -> nowNanos - queue.peekLast().sinceNanos() > WAIT_NANOS);
    }

    @Override
    public boolean send(ProcessId to, PeerMessage message) {
        PeerConnection connection = current.get(to);
        return connection != null && sockets.send(connection, encoded(message), mayDrop(message));
    }

    @Override
    @SuppressWarnings("DnsLookup") // Only IP numbers pass the check.
    public void open(String host, int port) {
        if (!IP_NUMBER.matcher(host).matches()) {
            return;
        }
        InetSocketAddress address = new InetSocketAddress(host, port);
        long now = System.nanoTime();
        if (port == 0 || own.contains(address) || sockets.isOpening(address) || !attempts.mayTry(address, now)) {
            return;
        }
        sockets.open(address, now);
    }

    @Override
    public void close(ProcessId peer) {
        PeerConnection connection = current.get(peer);
        if (connection != null) {
            sockets.close(connection);
        }
    }

    @Override
    public Set<ProcessId> connected() {
        return current.keySet();
    }

    @Override
    public boolean opened(ProcessId peer) {
        PeerConnection connection = current.get(peer);
        return connection != null && connection.opened();
    }

    @Override
    public void onEstablished(PeerConnection connection) {
        long now = System.nanoTime();
        ProcessId peer = connection.peer().orElseThrow();
        attempts.onSuccess(connection.remote());
        PeerConnection before = current.get(peer);
        if (before != null && keeps(before, connection, peer, now)) {
            connection.retire(now);
            return;
        }
        if (before != null) {
            before.retire(now);
        }
        current.put(peer, connection);
        handler.onConnected(peer, now);
        Deque<Waiting> held = waiting.remove(peer);
        if (held != null) {
            held.stream().filter(w -> now - w.sinceNanos() <= WAIT_NANOS).forEach(w -> send(peer, w.message()));
        }
    }

    @Override
    public void onMessage(PeerConnection connection, PeerMessage message) {
        handler.onMessage(connection.peer().orElseThrow(), message, System.nanoTime());
    }

    @Override
    public void onClosed(PeerConnection connection) {
        ProcessId peer = connection.peer().orElseThrow();
        if (current.remove(peer, connection)) {
            handler.onDisconnected(peer, System.nanoTime());
        }
    }

    @Override
    public void onOpenFailed(InetSocketAddress address) {
        attempts.onFailure(address, System.nanoTime());
    }

    @Override
    public void onSelf(InetSocketAddress address) {
        own.add(address);
    }

    // Both sides keep the one that the lower name opened, when they connected to each other at the same time.
    private boolean keeps(PeerConnection before, PeerConnection next, ProcessId peer, long nowNanos) {
        if (nowNanos - before.lastReadNanos() > QUIET_NANOS || before.opened() == next.opened()) {
            return false;
        }
        return before.opened() == (self.compareTo(peer) < 0);
    }

    private byte[] encoded(PeerMessage message) {
        if (message != lastMessage) {
            lastEncoded = MessageCodecs.encode(message);
            lastMessage = message;
        }
        return lastEncoded;
    }

    // These are sent again, or made up for by newer ones.
    private static boolean mayDrop(PeerMessage message) {
        return message instanceof PeerMessage.Heartbeat
                || message instanceof PeerMessage.MemberShare
                || message instanceof PeerMessage.ConfirmationShare
                || message instanceof PeerMessage.EvidenceShare
                || message instanceof PeerMessage.Relayed
                || message instanceof PeerMessage.GrantShare
                || message instanceof PeerMessage.DemandShare
                || message instanceof PeerMessage.TeamUseShare
                || message instanceof PeerMessage.OthersUse
                || message instanceof PeerMessage.UsageShare
                || message instanceof PeerMessage.UsageHeard
                || message instanceof PeerMessage.PlanNews
                || message instanceof PeerMessage.StoreNews;
    }
}
