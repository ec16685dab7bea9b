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
 * All sockets to peers: accepts, connects, checks hellos, reads and writes frames.
 *
 * <p>A selector and one thread were preferred to XNIO, whose channels would bring pools and listeners of their own
 * between the thread and the limits on memory. Belongs to that thread.
 */
final class Sockets {
    /** Time in which a connection must be made and its hello be complete, in nanoseconds. */
    static final long HELLO_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Silence after which a connection is given up, in nanoseconds. */
    static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

    /** Accepted connections that may be without a complete hello at one time. */
    static final int STRANGERS = 64;

    private static final int READ_BYTES = 64 * 1024;
    private static final int BACKLOG = 256;

    private final Selector selector;
    private final ServerSocketChannel server;
    private final SharedKey key;
    private final ProcessId self;
    private final int level;
    private final SocketEvents events;
    private final SecureRandom challenges = new SecureRandom();
    private final RefusalLog refusals = new RefusalLog();
    private final Set<PeerConnection> connections = Collections.newSetFromMap(new IdentityHashMap<>());
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(READ_BYTES);
    private final AtomicLong sentBytes = new AtomicLong();
    private final AtomicLong receivedBytes = new AtomicLong();

    @SuppressWarnings("DnsLookup") // The settings give IP numbers.
    Sockets(String host, int port, String sharedKey, ProcessId self, int level, SocketEvents events)
            throws IOException {
        this.selector = Selector.open();
        this.server = ServerSocketChannel.open();
        this.key = new SharedKey(sharedKey);
        this.self = self;
        this.level = level;
        this.events = events;
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

    /** Waits for sockets and handles what they bring. */
    void await(long timeoutMillis) throws IOException {
        selector.select(this::handle, timeoutMillis);
    }

    /** Starts to connect. */
    void open(InetSocketAddress address, long nowNanos) {
        try {
            SocketChannel channel = SocketChannel.open();
            PeerConnection connection = add(channel, address, true, nowNanos);
            connection.register(channel.register(selector, SelectionKey.OP_CONNECT, connection));
            if (channel.connect(address)) {
                connected(connection);
            }
        } catch (IOException _e) {
            events.onOpenFailed(address);
        }
    }

    /** Queues a message. */
    boolean send(PeerConnection connection, byte[] message, boolean mayDrop) {
        if (!connection.queue().add(FrameReader.frame(message), mayDrop)) {
            return false;
        }
        flush(connection);
        return true;
    }

    /** Closes connections that are silent, retired or too slow with their hello. */
    void expire(long nowNanos) {
        for (PeerConnection connection : Set.copyOf(connections)) {
            boolean known = connection.peer().isPresent();
            if (!known && nowNanos - connection.sinceNanos() > HELLO_NANOS) {
                refuse(connection, HelloError.TIMED_OUT);
            } else if (known && nowNanos - connection.lastReadNanos() > SILENCE_NANOS) {
                close(connection);
            } else if (connection
                    .retiredNanos()
                    .map(at -> nowNanos - at > SILENCE_NANOS)
                    .orElse(false)) {
                close(connection);
            }
        }
    }

    boolean isOpening(InetSocketAddress address) {
        return connections.stream()
                .anyMatch(c -> c.opened() && c.peer().isEmpty() && c.remote().equals(address));
    }

    void close(PeerConnection connection) {
        if (!connections.remove(connection)) {
            return;
        }
        closeChannel(connection.channel());
        if (connection.peer().isPresent()) {
            events.onClosed(connection);
        } else if (connection.opened()) {
            events.onOpenFailed(connection.remote());
        }
    }

    void closeAll() {
        Set.copyOf(connections).forEach(connection -> closeChannel(connection.channel()));
        connections.clear();
        try {
            server.close();
            selector.close();
        } catch (IOException _e) {
            // Nothing is left to do with them.
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
                connected(connection);
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
            long strangers = connections.stream()
                    .filter(c -> !c.opened() && c.peer().isEmpty())
                    .count();
            if (strangers >= STRANGERS) {
                refusals.refuse(remote.getHostString(), "too-many-hellos", System.nanoTime());
                closeChannel(channel);
                return;
            }
            PeerConnection connection = add(channel, remote, false, System.nanoTime());
            connection.register(channel.register(selector, SelectionKey.OP_READ, connection));
        } catch (IOException _e) {
            // The other side left before it was accepted.
        }
    }

    private PeerConnection add(SocketChannel channel, InetSocketAddress remote, boolean opened, long nowNanos)
            throws IOException {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        byte[] challenge = new byte[HelloFrame.CHALLENGE_BYTES];
        challenges.nextBytes(challenge);
        SharedKey.Role role = opened ? SharedKey.Role.OPENER : SharedKey.Role.ACCEPTOR;
        Handshake handshake = new Handshake(key, role, self, level, challenge);
        PeerConnection connection = new PeerConnection(channel, remote, opened, handshake, nowNanos);
        connections.add(connection);
        return connection;
    }

    private void connected(PeerConnection connection) {
        sendHello(connection, connection.handshake().start());
    }

    private void sendHello(PeerConnection connection, List<byte[]> frames) {
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
            end(connection);
            return;
        }
        receivedBytes.addAndGet(count);
        buffer.flip();
        Optional<byte[]> frame = connection.reader().next(buffer);
        while (frame.isPresent() && connections.contains(connection)) {
            receive(connection, frame.get());
            frame = connection.reader().next(buffer);
        }
        if (connection.reader().overLong()) {
            refuse(connection, HelloError.MALFORMED);
        }
    }

    private void end(PeerConnection connection) {
        if (connection.peer().isEmpty()) {
            refuse(connection, HelloError.CLOSED);
        } else {
            close(connection);
        }
    }

    private void receive(PeerConnection connection, byte[] frame) {
        if (connection.peer().isPresent()) {
            MessageCodecs.decode(frame)
                    .fold(
                            message -> {
                                message.ifPresent(m -> events.onMessage(connection, m));
                                return true;
                            },
                            _why -> refuse(connection, HelloError.MALFORMED));
            return;
        }
        Result<Handshake.Step, HelloError> result = connection.handshake().onFrame(frame);
        result.fold(step -> proceed(connection, step), error -> refuse(connection, error));
    }

    private boolean proceed(PeerConnection connection, Handshake.Step step) {
        sendHello(connection, step.send());
        step.peer().ifPresent(peer -> {
            connection.establish(peer, MessageCodecs.MAX_MESSAGE_BYTES);
            events.onEstablished(connection);
        });
        return true;
    }

    private boolean refuse(PeerConnection connection, HelloError error) {
        if (error == HelloError.SELF) {
            events.onSelf(connection.remote());
        } else if (connections.contains(connection)) {
            refusals.refuse(connection.remote().getHostString(), error.text(), System.nanoTime());
        }
        close(connection);
        return false;
    }

    private static void closeChannel(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException _e) {
            // It is closed either way.
        }
    }
}
