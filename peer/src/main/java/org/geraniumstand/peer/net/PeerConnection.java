package org.geraniumstand.peer.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import org.geraniumstand.model.id.ProcessId;

/** A connection, from its opening to its end; belongs to the thread that owns all sockets. */
final class PeerConnection {
    /** Largest frame before the other side is known, in bytes. */
    static final int HELLO_BYTES = 1_024;

    private final SocketChannel channel;
    private final InetSocketAddress remote;
    private final boolean opened;
    private final Handshake handshake;
    private final FrameReader reader = new FrameReader(HELLO_BYTES);
    private final SendQueue queue = new SendQueue();
    private final long sinceNanos;
    private SelectionKey key;
    private Optional<ProcessId> peer = Optional.empty();
    private Optional<Long> retiredNanos = Optional.empty();
    private long lastReadNanos;

    PeerConnection(
            SocketChannel channel, InetSocketAddress remote, boolean opened, Handshake handshake, long nowNanos) {
        this.channel = channel;
        this.remote = remote;
        this.opened = opened;
        this.handshake = handshake;
        this.sinceNanos = nowNanos;
        this.lastReadNanos = nowNanos;
    }

    SocketChannel channel() {
        return channel;
    }

    InetSocketAddress remote() {
        return remote;
    }

    /** Returns whether this process opened the connection. */
    boolean opened() {
        return opened;
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

    long sinceNanos() {
        return sinceNanos;
    }

    Optional<ProcessId> peer() {
        return peer;
    }

    long lastReadNanos() {
        return lastReadNanos;
    }

    Optional<Long> retiredNanos() {
        return retiredNanos;
    }

    void register(SelectionKey selectionKey) {
        key = selectionKey;
    }

    void establish(ProcessId other, int frameLimit) {
        peer = Optional.of(other);
        reader.limit(frameLimit);
    }

    /** Stops sending; what the other side still sends is read for a while. */
    void retire(long nowNanos) {
        retiredNanos = Optional.of(nowNanos);
    }

    int read(ByteBuffer buffer, long nowNanos) throws IOException {
        int count = channel.read(buffer);
        if (count > 0) {
            lastReadNanos = nowNanos;
        }
        return count;
    }

    /** Writes what waits and asks to be woken when the rest can be written. */
    long flush() throws IOException {
        if (!channel.isConnected()) {
            return 0;
        }
        long written = queue.writeTo(channel);
        key.interestOps(queue.isEmpty() ? SelectionKey.OP_READ : SelectionKey.OP_READ | SelectionKey.OP_WRITE);
        return written;
    }
}
