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

/** Maintains one connection per peer and dispatches socket events to a handler; confined to one thread. */
final class ConnectionManager implements Links, SocketListener {
    // A connection that received nothing for this long may be half-open, so a new connection replaces it.
    private static final long STALE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);
    private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final int MAX_QUEUED_MESSAGES = 256;
    private static final Pattern IP_ADDRESS = Pattern.compile("[0-9.]+|[0-9a-fA-F.]*:[0-9a-fA-F.:]+");

    private final Sockets sockets;
    private final ReconnectBackoff backoff;
    private final ProcessId self;
    private final Map<ProcessId, PeerConnection> connections = new ConcurrentHashMap<>();
    private final Map<ProcessId, Deque<QueuedMessage>> queuedMessages = new HashMap<>();
    private final Set<InetSocketAddress> ownAddresses = new HashSet<>();
    private Handler handler;
    private PeerMessage lastMessage;
    private byte[] lastEncoded;

    private record QueuedMessage(PeerMessage message, long queuedNanos) {}

    ConnectionManager(String host, PeerSettings settings) throws IOException {
        this.self = settings.self().id();
        this.backoff = new ReconnectBackoff(new Random(settings.randomSeed()));
        this.sockets = new Sockets(
                host,
                settings.port(),
                settings.sharedKey(),
                self,
                settings.self().level(),
                this);
    }

    /** Receives the events of peers; each peer has at most one current connection. */
    interface Handler {
        void onConnected(ProcessId peer, long nowNanos);

        void onMessage(ProcessId peer, PeerMessage message, long nowNanos);

        void onDisconnected(ProcessId peer, long nowNanos);
    }

    void start(Handler peerHandler) {
        handler = peerHandler;
    }

    Sockets sockets() {
        return sockets;
    }

    /** Returns false if a connection to the peer exists and its send queue is full; safe to call from any thread. */
    boolean hasRoom(ProcessId peer) {
        PeerConnection connection = connections.get(peer);
        return connection == null || connection.queue().hasRoom(0);
    }

    /** Returns whether the peer is connected; safe to call from any thread. */
    boolean isConnected(ProcessId peer) {
        return connections.containsKey(peer);
    }

    /** Queues a message until the connection that is being opened is established. */
    void enqueue(ProcessId peer, PeerMessage message) {
        Deque<QueuedMessage> queue = queuedMessages.computeIfAbsent(peer, _id -> new ArrayDeque<>());
        queue.addLast(new QueuedMessage(message, System.nanoTime()));
        if (queue.size() > MAX_QUEUED_MESSAGES) {
            queue.pollFirst();
        }
    }

    void expire(long nowNanos) {
        sockets.expire(nowNanos);
        queuedMessages.values().removeIf(queue -> nowNanos - queue.peekLast().queuedNanos() > MAX_WAIT_NANOS);
    }

    @Override
    public boolean send(ProcessId to, PeerMessage message) {
        PeerConnection connection = connections.get(to);
        return connection != null && sockets.send(connection, encode(message), isDroppable(message));
    }

    @Override
    @SuppressWarnings("DnsLookup") // The pattern admits only IP addresses, which need no lookup.
    public void connect(String host, int port) {
        if (!IP_ADDRESS.matcher(host).matches()) {
            return;
        }
        InetSocketAddress address = new InetSocketAddress(host, port);
        long now = System.nanoTime();
        if (port == 0
                || ownAddresses.contains(address)
                || sockets.isConnecting(address)
                || !backoff.mayConnect(address, now)) {
            return;
        }
        sockets.connect(address, now);
    }

    @Override
    public void close(ProcessId peer) {
        PeerConnection connection = connections.get(peer);
        if (connection != null) {
            sockets.close(connection);
        }
    }

    @Override
    public Set<ProcessId> connected() {
        return connections.keySet();
    }

    @Override
    public boolean isOutbound(ProcessId peer) {
        PeerConnection connection = connections.get(peer);
        return connection != null && connection.outbound();
    }

    @Override
    public void onEstablished(PeerConnection connection) {
        long now = System.nanoTime();
        ProcessId peer = connection.peer().orElseThrow();
        backoff.onSuccess(connection.remote());
        PeerConnection existing = connections.get(peer);
        if (existing != null && keepsExisting(existing, connection, peer, now)) {
            connection.retire(now);
            return;
        }
        if (existing != null) {
            existing.retire(now);
        }
        connections.put(peer, connection);
        handler.onConnected(peer, now);
        Deque<QueuedMessage> pending = queuedMessages.remove(peer);
        if (pending != null) {
            pending.stream()
                    .filter(queued -> now - queued.queuedNanos() <= MAX_WAIT_NANOS)
                    .forEach(queued -> send(peer, queued.message()));
        }
    }

    @Override
    public void onMessage(PeerConnection connection, PeerMessage message) {
        handler.onMessage(connection.peer().orElseThrow(), message, System.nanoTime());
    }

    @Override
    public void onClosed(PeerConnection connection) {
        ProcessId peer = connection.peer().orElseThrow();
        if (connections.remove(peer, connection)) {
            handler.onDisconnected(peer, System.nanoTime());
        }
    }

    @Override
    public void onConnectFailed(InetSocketAddress address) {
        backoff.onFailure(address, System.nanoTime());
    }

    @Override
    public void onConnectedToSelf(InetSocketAddress address) {
        ownAddresses.add(address);
    }

    // If both sides opened a connection at the same time, both keep the one opened by the process with the lower id.
    private boolean keepsExisting(PeerConnection existing, PeerConnection next, ProcessId peer, long nowNanos) {
        if (nowNanos - existing.lastReadNanos() > STALE_NANOS || existing.outbound() == next.outbound()) {
            return false;
        }
        return existing.outbound() == (self.compareTo(peer) < 0);
    }

    private byte[] encode(PeerMessage message) {
        if (message != lastMessage) {
            lastEncoded = MessageCodecs.encode(message);
            lastMessage = message;
        }
        return lastEncoded;
    }

    // These messages are retransmitted or superseded by later ones.
    private static boolean isDroppable(PeerMessage message) {
        return message instanceof PeerMessage.Heartbeat
                || message instanceof PeerMessage.MembershipUpdate
                || message instanceof PeerMessage.AppliedGenerationsUpdate
                || message instanceof PeerMessage.EvidenceUpdate
                || message instanceof PeerMessage.BroadcastEnvelope
                || message instanceof PeerMessage.GrantUpdate
                || message instanceof PeerMessage.DemandReport
                || message instanceof PeerMessage.QuotaUsageReport
                || message instanceof PeerMessage.AggregateQuotaUsage
                || message instanceof PeerMessage.QuotaUnitsRequest
                || message instanceof PeerMessage.QuotaUnitsAnswer
                || message instanceof PeerMessage.RequestCountReport
                || message instanceof PeerMessage.RequestCountAck
                || message instanceof PeerMessage.RelayConfigurationVersion
                || message instanceof PeerMessage.StoreUpdate;
    }
}
