package org.geraniumstand.peer.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Queues frames to be written to one connection.
 *
 * <p>Drops the oldest droppable frames, which later frames supersede, when those exceed their limit. Rejects other
 * frames when the queue is full.
 */
final class SendQueue {
    /** Maximum total size of the droppable frames, in bytes. */
    static final int MAX_DROPPABLE_BYTES = 512 * 1024;

    /** Maximum total size of all frames, in bytes; droppable frames are queued even beyond it. */
    static final int MAX_TOTAL_BYTES = 8 * 1024 * 1024;

    private final Deque<QueuedFrame> frames = new ArrayDeque<>();
    private int droppableBytes;
    // Written only by the owning thread; read by other threads to check for room.
    private final AtomicInteger totalBytes = new AtomicInteger();

    private record QueuedFrame(ByteBuffer bytes, int size, boolean droppable) {}

    /** Queues a frame; returns false if the queue is full and the frame is not droppable. */
    boolean add(ByteBuffer frame, boolean droppable) {
        int size = frame.remaining();
        if (droppable) {
            dropOldest(size);
            droppableBytes += size;
        } else if (!hasRoom(size)) {
            return false;
        }
        totalBytes.addAndGet(size);
        frames.addLast(new QueuedFrame(frame, size, droppable));
        return true;
    }

    boolean hasRoom(int size) {
        return totalBytes.get() + size <= MAX_TOTAL_BYTES;
    }

    int bytes() {
        return totalBytes.get();
    }

    /** Writes frames until the channel accepts no more bytes; returns the number of bytes written. */
    long writeTo(WritableByteChannel channel) throws IOException {
        long written = 0;
        while (!frames.isEmpty()) {
            QueuedFrame first = frames.peekFirst();
            written += channel.write(first.bytes());
            if (first.bytes().hasRemaining()) {
                return written;
            }
            frames.pollFirst();
            subtract(first);
        }
        return written;
    }

    boolean isEmpty() {
        return frames.isEmpty();
    }

    private void dropOldest(int size) {
        Iterator<QueuedFrame> iterator = frames.iterator();
        while (droppableBytes + size > MAX_DROPPABLE_BYTES && iterator.hasNext()) {
            QueuedFrame oldest = iterator.next();
            boolean unwritten = oldest.bytes().remaining() == oldest.size();
            if (oldest.droppable() && unwritten) {
                iterator.remove();
                subtract(oldest);
            }
        }
    }

    private void subtract(QueuedFrame frame) {
        totalBytes.addAndGet(-frame.size());
        if (frame.droppable()) {
            droppableBytes -= frame.size();
        }
    }
}
