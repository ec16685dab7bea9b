package org.geraniumstand.standins;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.xnio.IoUtils;

/** Forwards TCP connections, and can delay them, close them or stall open ones permanently while new ones still work. */
public final class TcpRelay implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final Switches<TcpRelaySwitch> switches = Switches.of(TcpRelaySwitch.class, () -> {});
    private final Set<ConnectionPair> connections = ConcurrentHashMap.newKeySet();
    private final Supplier<Optional<InetSocketAddress>> target;
    private final ServerSocket listener;

    private TcpRelay(ServerSocket listener, Supplier<Optional<InetSocketAddress>> target) {
        this.listener = listener;
        this.target = target;
    }

    /**
     * Starts a relay.
     *
     * @param port port on loopback, zero for any
     * @param target supplies the address for the next connection; empty closes the connection
     */
    public static TcpRelay start(int port, Supplier<Optional<InetSocketAddress>> target) {
        try {
            ServerSocket listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
            TcpRelay relay = new TcpRelay(listener, target);
            startDaemon(relay::accept, "relay-accept");
            return relay;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen on loopback", e);
        }
    }

    /**
     * Starts a relay on any free port that forwards to one port on loopback.
     *
     * @param port port to forward connections to
     */
    public static TcpRelay startForwardingTo(int port) {
        return start(0, () -> Optional.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)));
    }

    /** Returns the port that the relay listens on. */
    public int port() {
        return listener.getLocalPort();
    }

    /** Returns the faults of the relay. */
    public Switches<TcpRelaySwitch> switches() {
        return switches;
    }

    /** Closes all open connections. */
    public void closeConnections() {
        connections.forEach(ConnectionPair::close);
    }

    /** Stalls all open connections permanently: no more data is forwarded, but both ends still see them as open. */
    public void stallConnections() {
        connections.forEach(ConnectionPair::stall);
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return connections.size();
    }

    @Override
    public void close() {
        IoUtils.safeClose(listener);
        closeConnections();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket client = listener.accept();
                startDaemon(() -> connect(client), "relay-connect");
            } catch (IOException _e) {
                // The relay was closed, or the client closed the connection before it was accepted.
            }
        }
    }

    private void connect(Socket client) {
        Optional<InetSocketAddress> address = target.get();
        if (switches.applies(TcpRelaySwitch.REFUSE) || address.isEmpty()) {
            IoUtils.safeClose(client);
            return;
        }
        Socket backend = new Socket();
        try {
            backend.connect(address.get(), CONNECT_TIMEOUT_MILLIS);
            client.setTcpNoDelay(true);
            backend.setTcpNoDelay(true);
            ConnectionPair pair = new ConnectionPair(client, backend, switches.applies(TcpRelaySwitch.DEAF));
            connections.add(pair);
            startDaemon(() -> copy(pair, client, backend, false), "relay-out");
            copy(pair, backend, client, pair.dropResponses);
        } catch (IOException _e) {
            IoUtils.safeClose(client);
            IoUtils.safeClose(backend);
        }
    }

    private void copy(ConnectionPair pair, Socket from, Socket to, boolean discard) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int count = in.read(buffer);
            while (count >= 0) {
                switches.delay(TcpRelaySwitch.DELAY_MILLIS);
                if (!pair.stalled && !discard) {
                    out.write(buffer, 0, count);
                }
                count = in.read(buffer);
            }
        } catch (IOException _e) {
            // One side closed the connection; the other side is closed below.
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
        if (!pair.stalled && !discard) {
            pair.close();
        }
    }

    private static void startDaemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Pairs the connection of a client with the connection that it is forwarded to. */
    private final class ConnectionPair {
        private final Socket client;
        private final Socket backend;
        private final boolean dropResponses;
        private volatile boolean stalled;

        ConnectionPair(Socket client, Socket backend, boolean dropResponses) {
            this.client = client;
            this.backend = backend;
            this.dropResponses = dropResponses;
        }

        void stall() {
            stalled = true;
        }

        void close() {
            IoUtils.safeClose(client);
            IoUtils.safeClose(backend);
            connections.remove(this);
        }
    }
}
