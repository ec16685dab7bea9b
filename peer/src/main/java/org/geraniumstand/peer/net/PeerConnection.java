package org.geraniumstand.peer.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import org.geraniumstand.model.id.ProcessId;

/** Holds the state of one connection to a peer; confined to the thread that owns all sockets. */
final class PeerConnection {
    /** Maximum frame size before the other side has authenticated, in bytes. */
    static final int MAX_HELLO_BYTES = 1_024;

    private final SocketChannel channel;
    private final InetSocketAddress remote;
    private final boolean outbound;
    private final Handshake handshake;
    private final FrameReader reader = new FrameReader(MAX_HELLO_BYTES);
    private final SendQueue queue = new SendQueue();
    private final long createdNanos;
    private SelectionKey key;
    private Optional<ProcessId> peer = Optional.empty();
    private Optional<Long> retiredAtNanos = Optional.empty();
    private long lastReadNanos;

    PeerConnection(
            SocketChannel channel, InetSocketAddress remote, boolean outbound, Handshake handshake, long nowNanos) {
        this.channel = channel;
        this.remote = remote;
        this.outbound = outbound;
        this.handshake = handshake;
        this.createdNanos = nowNanos;
        this.lastReadNanos = nowNanos;
    }

    SocketChannel channel() {
        return channel;
    }

    InetSocketAddress remote() {
        return remote;
    }

    /** Returns whether this process opened the connection. */
    boolean outbound() {
        return outbound;
    }

    Handshake handshake() {
        return handshake;
    }

    FrameReader reader() {
        return reader;
    }

    SendQueue queue() {
        return queue;
    }

    long createdNanos() {
        return createdNanos;
    }

    Optional<ProcessId> peer() {
        return peer;
    }

    long lastReadNanos() {
        return lastReadNanos;
    }

    Optional<Long> retiredAtNanos() {
        return retiredAtNanos;
    }

    void register(SelectionKey selectionKey) {
        key = selectionKey;
    }

    void establish(ProcessId process, int frameLimit) {
        peer = Optional.of(process);
        reader.limit(frameLimit);
    }

    /** Retires the connection: nothing more is sent, but messages from the other side are read until it expires. */
    void retire(long nowNanos) {
        retiredAtNanos = Optional.of(nowNanos);
    }

    int read(ByteBuffer buffer, long nowNanos) throws IOException {
        int count = channel.read(buffer);
        if (count > 0) {
            lastReadNanos = nowNanos;
        }
        return count;
    }

    /** Writes queued frames and registers for write readiness if any remain; returns the number of bytes written. */
    long flush() throws IOException {
        if (!channel.isConnected()) {
            return 0;
        }
        long written = queue.writeTo(channel);
        key.interestOps(queue.isEmpty() ? SelectionKey.OP_READ : SelectionKey.OP_READ | SelectionKey.OP_WRITE);
        return written;
    }
}
