package org.geraniumstand.peer.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.security.SecureRandom;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.peer.codec.MessageCodecs;

/**
 * Owns all sockets to peers: accepts and opens connections, performs handshakes, reads and writes frames.
 *
 * <p>Uses a selector and a single thread, to which this class is confined, instead of XNIO. The channels of XNIO would
 * add buffer pools and listeners between that thread and the memory limits.
 */
final class Sockets {
    /** Timeout for opening a connection and completing its handshake, in nanoseconds. */
    static final long HANDSHAKE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Time without received bytes after which a connection is closed, in nanoseconds. */
    static final long READ_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

    /** Maximum number of accepted connections whose handshake is incomplete. */
    static final int MAX_PENDING_HANDSHAKES = 64;

    private static final int READ_BUFFER_BYTES = 64 * 1024;
    private static final int BACKLOG = 256;

    private final Selector selector;
    private final ServerSocketChannel server;
    private final SharedKey key;
    private final ProcessId self;
    private final int level;
    private final SocketListener listener;
    private final SecureRandom challengeRandom = new SecureRandom();
    private final RejectionLog rejections = new RejectionLog();
    private final Set<PeerConnection> connections = Collections.newSetFromMap(new IdentityHashMap<>());
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    private final AtomicLong sentBytes = new AtomicLong();
    private final AtomicLong receivedBytes = new AtomicLong();

    @SuppressWarnings("DnsLookup") // The settings contain IP addresses only.
    Sockets(String host, int port, String sharedKey, ProcessId self, int level, SocketListener listener)
            throws IOException {
        this.selector = Selector.open();
        this.server = ServerSocketChannel.open();
        this.key = new SharedKey(sharedKey);
        this.self = self;
        this.level = level;
        this.listener = listener;
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        server.bind(new InetSocketAddress(host, port), BACKLOG);
        server.configureBlocking(false);
        server.register(selector, SelectionKey.OP_ACCEPT);
    }

    int port() {
        return server.socket().getLocalPort();
    }

    long sentBytes() {
        return sentBytes.get();
    }

    long receivedBytes() {
        return receivedBytes.get();
    }

    void wakeUp() {
        selector.wakeup();
    }

    /** Waits for socket events and handles them. */
    void await(long timeoutMillis) throws IOException {
        selector.select(this::handle, timeoutMillis);
    }

    /** Starts to open a connection. */
    void connect(InetSocketAddress address, long nowNanos) {
        try {
            SocketChannel channel = SocketChannel.open();
            PeerConnection connection = add(channel, address, true, nowNanos);
            connection.register(channel.register(selector, SelectionKey.OP_CONNECT, connection));
            if (channel.connect(address)) {
                onConnected(connection);
            }
        } catch (IOException _e) {
            listener.onConnectFailed(address);
        }
    }

    /** Queues a message and writes as much as the socket accepts; returns whether the message was queued. */
    boolean send(PeerConnection connection, byte[] message, boolean droppable) {
        if (!connection.queue().add(FrameReader.frame(message), droppable)) {
            return false;
        }
        flush(connection);
        return true;
    }

    /**
     * Closes connections whose handshake or read timeout has expired, and retired connections after the read timeout.
     */
    void expire(long nowNanos) {
        for (PeerConnection connection : Set.copyOf(connections)) {
            boolean established = connection.peer().isPresent();
            if (!established && nowNanos - connection.createdNanos() > HANDSHAKE_TIMEOUT_NANOS) {
                reject(connection, HandshakeError.TIMED_OUT);
            } else if (established && nowNanos - connection.lastReadNanos() > READ_TIMEOUT_NANOS) {
                close(connection);
            } else if (connection
                    .retiredAtNanos()
                    .map(at -> nowNanos - at > READ_TIMEOUT_NANOS)
                    .orElse(false)) {
                close(connection);
            }
        }
    }

    boolean isConnecting(InetSocketAddress address) {
        return connections.stream()
                .anyMatch(c -> c.outbound() && c.peer().isEmpty() && c.remote().equals(address));
    }

    void close(PeerConnection connection) {
        if (!connections.remove(connection)) {
            return;
        }
        closeChannel(connection.channel());
        if (connection.peer().isPresent()) {
            listener.onClosed(connection);
        } else if (connection.outbound()) {
            listener.onConnectFailed(connection.remote());
        }
    }

    void closeAll() {
        Set.copyOf(connections).forEach(connection -> closeChannel(connection.channel()));
        connections.clear();
        try {
            server.close();
            selector.close();
        } catch (IOException _e) {
            // Neither the server channel nor the selector is used again, so a failure to close them is ignored.
        }
    }

    private void handle(SelectionKey selected) {
        if (!selected.isValid()) {
            return;
        }
        if (selected.isAcceptable()) {
            accept();
            return;
        }
        PeerConnection connection = (PeerConnection) selected.attachment();
        try {
            if (selected.isConnectable() && connection.channel().finishConnect()) {
                onConnected(connection);
            }
            if (selected.isValid() && selected.isReadable()) {
                read(connection);
            }
            if (selected.isValid() && selected.isWritable()) {
                sentBytes.addAndGet(connection.flush());
            }
        } catch (IOException _e) {
            close(connection);
        }
    }

    private void accept() {
        try {
            SocketChannel channel = server.accept();
            if (channel == null) {
                return;
            }
            InetSocketAddress remote = (InetSocketAddress) channel.getRemoteAddress();
            long pendingHandshakes = connections.stream()
                    .filter(c -> !c.outbound() && c.peer().isEmpty())
                    .count();
            if (pendingHandshakes >= MAX_PENDING_HANDSHAKES) {
                rejections.logRejection(remote.getHostString(), "too-many-hellos", System.nanoTime());
                closeChannel(channel);
                return;
            }
            PeerConnection connection = add(channel, remote, false, System.nanoTime());
            connection.register(channel.register(selector, SelectionKey.OP_READ, connection));
        } catch (IOException _e) {
            // The other side disconnected before the connection was accepted.
        }
    }

    private PeerConnection add(SocketChannel channel, InetSocketAddress remote, boolean outbound, long nowNanos)
            throws IOException {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        byte[] challenge = new byte[HelloFrame.CHALLENGE_BYTES];
        challengeRandom.nextBytes(challenge);
        SharedKey.Role role = outbound ? SharedKey.Role.OPENER : SharedKey.Role.ACCEPTOR;
        Handshake handshake = new Handshake(key, role, self, level, challenge);
        PeerConnection connection = new PeerConnection(channel, remote, outbound, handshake, nowNanos);
        connections.add(connection);
        return connection;
    }

    private void onConnected(PeerConnection connection) {
        sendHandshakeFrames(connection, connection.handshake().start());
    }

    private void sendHandshakeFrames(PeerConnection connection, List<byte[]> frames) {
        frames.forEach(frame -> connection.queue().add(FrameReader.frame(frame), false));
        flush(connection);
    }

    private void flush(PeerConnection connection) {
        try {
            sentBytes.addAndGet(connection.flush());
        } catch (IOException _e) {
            close(connection);
        }
    }

    private void read(PeerConnection connection) throws IOException {
        buffer.clear();
        int count = connection.read(buffer, System.nanoTime());
        if (count < 0) {
            onEndOfStream(connection);
            return;
        }
        receivedBytes.addAndGet(count);
        buffer.flip();
        Optional<byte[]> frame = connection.reader().next(buffer);
        while (frame.isPresent() && connections.contains(connection)) {
            receive(connection, frame.get());
            frame = connection.reader().next(buffer);
        }
        if (connection.reader().oversized()) {
            reject(connection, HandshakeError.MALFORMED);
        }
    }

    private void onEndOfStream(PeerConnection connection) {
        if (connection.peer().isEmpty()) {
            reject(connection, HandshakeError.CLOSED);
        } else {
            close(connection);
        }
    }

    private void receive(PeerConnection connection, byte[] frame) {
        if (connection.peer().isPresent()) {
            MessageCodecs.decode(frame)
                    .fold(
                            message -> {
                                message.ifPresent(m -> listener.onMessage(connection, m));
                                return true;
                            },
                            _reason -> reject(connection, HandshakeError.MALFORMED));
            return;
        }
        Result<Handshake.Step, HandshakeError> result = connection.handshake().onFrame(frame);
        result.fold(step -> proceed(connection, step), error -> reject(connection, error));
    }

    private boolean proceed(PeerConnection connection, Handshake.Step step) {
        sendHandshakeFrames(connection, step.send());
        step.peer().ifPresent(peer -> {
            connection.establish(peer, MessageCodecs.MAX_MESSAGE_BYTES);
            listener.onEstablished(connection);
        });
        return true;
    }

    private boolean reject(PeerConnection connection, HandshakeError error) {
        if (error == HandshakeError.SELF) {
            listener.onConnectedToSelf(connection.remote());
        } else if (connections.contains(connection)) {
            rejections.logRejection(connection.remote().getHostString(), error.reason(), System.nanoTime());
        }
        close(connection);
        return false;
    }

    private static void closeChannel(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException _e) {
            // The channel counts as closed even if close fails.
        }
    }
}
