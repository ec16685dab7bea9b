package org.geraniumstand.http.upstream;

import io.undertow.connector.ByteBufferPool;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.geraniumstand.support.net.ConnectionPool;
import org.xnio.XnioIoThread;

/** Creates attempts at backend servers and pools connections per I/O thread. */
public final class UpstreamClient {
    private final ByteBufferPool buffers;
    private final OriginCache origins = new OriginCache();
    private final Map<XnioIoThread, ConnectionPool> pools = new ConcurrentHashMap<>();

    /**
     * Creates a client.
     *
     * @param buffers pool of the read buffers of connections
     */
    public UpstreamClient(ByteBufferPool buffers) {
        this.buffers = buffers;
    }

    /**
     * Creates an attempt without starting it; must be called on the I/O thread that will own the attempt.
     *
     * @param spec the request to send
     * @param thread the calling I/O thread
     * @param listener receives the events of the attempt
     */
    public Attempt prepare(AttemptSpec spec, XnioIoThread thread, AttemptListener listener) {
        ConnectionPool pool = pools.computeIfAbsent(thread, _t -> new ConnectionPool());
        return new Attempt(spec, origins.of(spec.address(), spec.port()), thread, buffers, pool, listener);
    }
}
