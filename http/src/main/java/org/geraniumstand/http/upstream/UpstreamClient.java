package org.geraniumstand.http.upstream;

import io.undertow.connector.ByteBufferPool;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.geraniumstand.support.net.ConnectionShelf;
import org.xnio.XnioIoThread;

/** Opens attempts at backend servers. */
public final class UpstreamClient {
    private final ByteBufferPool buffers;
    private final Origins origins = new Origins();
    private final Map<XnioIoThread, ConnectionShelf> shelves = new ConcurrentHashMap<>();

    /**
     * Creates a client.
     *
     * @param buffers pool of the buffers that connections read into
     */
    public UpstreamClient(ByteBufferPool buffers) {
        this.buffers = buffers;
    }

    /**
     * Prepares an attempt; must be called on the thread that is to own it.
     *
     * @param spec what to send
     * @param thread the calling I/O thread
     * @param listener told what the attempt brings
     */
    public Attempt prepare(AttemptSpec spec, XnioIoThread thread, AttemptListener listener) {
        ConnectionShelf shelf = shelves.computeIfAbsent(thread, _t -> new ConnectionShelf());
        return new Attempt(spec, origins.of(spec.address(), spec.port()), thread, buffers, shelf, listener);
    }
}
