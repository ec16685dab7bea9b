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

/** Relays TCP connections, and cuts them, delays them or lets them go silent for good while new ones work. */
public final class TcpRelay implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final Switches<RelaySwitch> switches = Switches.of(RelaySwitch.class, () -> {});
    private final Set<Link> links = ConcurrentHashMap.newKeySet();
    private final Supplier<Optional<InetSocketAddress>> target;
    private final ServerSocket server;

    private TcpRelay(ServerSocket server, Supplier<Optional<InetSocketAddress>> target) {
        this.server = server;
        this.target = target;
    }

    /**
     * Starts a relay.
     *
     * @param port port on loopback, zero for any
     * @param target where the next connection goes
     */
    public static TcpRelay start(int port, Supplier<Optional<InetSocketAddress>> target) {
        try {
            ServerSocket server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
            TcpRelay relay = new TcpRelay(server, target);
            daemon(relay::accept, "relay-accept");
            return relay;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen", e);
        }
    }

    /**
     * Starts a relay to one port on loopback.
     *
     * @param port port of the target
     */
    public static TcpRelay to(int port) {
        return start(0, () -> Optional.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)));
    }

    /** Returns the port that it listens on. */
    public int port() {
        return server.getLocalPort();
    }

    /** Returns its faults. */
    public Switches<RelaySwitch> switches() {
        return switches;
    }

    /** Closes all open connections. */
    public void cutAll() {
        links.forEach(Link::close);
    }

    /** Lets all open connections go silent for good; both ends still see them as open. */
    public void silenceAll() {
        links.forEach(Link::silence);
    }

    /** Returns the number of open connections. */
    public int open() {
        return links.size();
    }

    @Override
    public void close() {
        IoUtils.safeClose(server);
        cutAll();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket caller = server.accept();
                daemon(() -> connect(caller), "relay-connect");
            } catch (IOException _e) {
                // The relay was closed, or the connection vanished before it was taken.
            }
        }
    }

    private void connect(Socket caller) {
        Optional<InetSocketAddress> next = target.get();
        if (switches.take(RelaySwitch.REFUSE) || next.isEmpty()) {
            IoUtils.safeClose(caller);
            return;
        }
        Socket callee = new Socket();
        try {
            callee.connect(next.get(), CONNECT_TIMEOUT_MILLIS);
            caller.setTcpNoDelay(true);
            callee.setTcpNoDelay(true);
            Link link = new Link(caller, callee, switches.take(RelaySwitch.DEAF));
            links.add(link);
            daemon(() -> pump(link, caller, callee, false), "relay-out");
            pump(link, callee, caller, link.deaf);
        } catch (IOException _e) {
            IoUtils.safeClose(caller);
            IoUtils.safeClose(callee);
        }
    }

    private void pump(Link link, Socket from, Socket to, boolean drop) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int count = in.read(buffer);
            while (count >= 0) {
                switches.pause(RelaySwitch.DELAY_MILLIS);
                if (!link.silent && !drop) {
                    out.write(buffer, 0, count);
                }
                count = in.read(buffer);
            }
        } catch (IOException _e) {
            // One end is gone; the other is told below.
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
        if (!link.silent && !drop) {
            link.close();
        }
    }

    private static void daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** A connection of a caller and the one that it is relayed to. */
    private final class Link {
        private final Socket caller;
        private final Socket callee;
        private final boolean deaf;
        private volatile boolean silent;

        Link(Socket caller, Socket callee, boolean deaf) {
            this.caller = caller;
            this.callee = callee;
            this.deaf = deaf;
        }

        void silence() {
            silent = true;
        }

        void close() {
            IoUtils.safeClose(caller);
            IoUtils.safeClose(callee);
            links.remove(this);
        }
    }
}
