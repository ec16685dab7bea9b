package org.geraniumstand.peer.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Frames that wait to be written to one connection.
 *
 * <p>When there are too many, the oldest frames that a newer one makes up for are dropped; others are refused.
 */
final class SendQueue {
    /** Bytes of frames that may be dropped. */
    static final int DROPPABLE_BYTES = 512 * 1024;

    /** Bytes of all frames. */
    static final int TOTAL_BYTES = 8 * 1024 * 1024;

    private final Deque<Waiting> frames = new ArrayDeque<>();
    private int droppable;
    // Changed by the owning thread alone; read by others to tell whether there is room.
    private final AtomicInteger total = new AtomicInteger();

    private record Waiting(ByteBuffer bytes, int size, boolean mayDrop) {}

    /** Adds a frame and returns whether there was room. */
    boolean add(ByteBuffer frame, boolean mayDrop) {
        int size = frame.remaining();
        if (mayDrop) {
            dropOldest(size);
            droppable += size;
        } else if (!hasRoom(size)) {
            return false;
        }
        total.addAndGet(size);
        frames.addLast(new Waiting(frame, size, mayDrop));
        return true;
    }

    boolean hasRoom(int size) {
        return total.get() + size <= TOTAL_BYTES;
    }

    int bytes() {
        return total.get();
    }

    /** Writes as much as the channel takes and returns the number of bytes written. */
    long writeTo(WritableByteChannel channel) throws IOException {
        long written = 0;
        while (!frames.isEmpty()) {
            Waiting first = frames.peekFirst();
            written += channel.write(first.bytes());
            if (first.bytes().hasRemaining()) {
                return written;
            }
            frames.pollFirst();
            forget(first);
        }
        return written;
    }

    boolean isEmpty() {
        return frames.isEmpty();
    }

    private void dropOldest(int size) {
        Iterator<Waiting> waiting = frames.iterator();
        while (droppable + size > DROPPABLE_BYTES && waiting.hasNext()) {
            Waiting oldest = waiting.next();
            boolean untouched = oldest.bytes().remaining() == oldest.size();
            if (oldest.mayDrop() && untouched) {
                waiting.remove();
                forget(oldest);
            }
        }
    }

    private void forget(Waiting frame) {
        total.addAndGet(-frame.size());
        if (frame.mayDrop()) {
            droppable -= frame.size();
        }
    }
}
