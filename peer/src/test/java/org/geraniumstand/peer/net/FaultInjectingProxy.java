package org.geraniumstand.peer.net;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Forwards TCP connections to a port; can drop all traffic of the open connections and reject new ones. */
final class FaultInjectingProxy implements AutoCloseable {
    private final ServerSocket server;
    private final int target;
    private final List<Pipe> pipes = new CopyOnWriteArrayList<>();
    private volatile boolean rejecting;

    private static final class Pipe {
        private final Socket client;
        private final Socket upstream;
        private volatile boolean dropping;

        private Pipe(Socket client, Socket upstream) {
            this.client = client;
            this.upstream = upstream;
        }
    }

    FaultInjectingProxy(int target) throws IOException {
        this.target = target;
        this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        start(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    int connections() {
        return pipes.size();
    }

    /** Drops all further traffic of the open connections without closing them; new connections still work. */
    void dropTraffic() {
        pipes.forEach(pipe -> pipe.dropping = true);
    }

    /** Drops all further traffic of the open connections; closes new connections at once if partitioned. */
    void partition(boolean partitioned) {
        rejecting = partitioned;
        dropTraffic();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Pipe pipe : pipes) {
            pipe.client.close();
            pipe.upstream.close();
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket client = server.accept();
                if (rejecting) {
                    client.close();
                    continue;
                }
                Pipe pipe = new Pipe(client, new Socket(InetAddress.getLoopbackAddress(), target));
                pipes.add(pipe);
                start(() -> copy(pipe, pipe.client, pipe.upstream));
                start(() -> copy(pipe, pipe.upstream, pipe.client));
            }
        } catch (IOException _e) {
            // The proxy was closed.
        }
    }

    private static void copy(Pipe pipe, Socket from, Socket to) {
        byte[] buffer = new byte[8 * 1024];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int count = in.read(buffer);
            while (count >= 0) {
                if (!pipe.dropping) {
                    out.write(buffer, 0, count);
                }
                count = in.read(buffer);
            }
            if (!pipe.dropping) {
                to.close();
            }
        } catch (IOException _e) {
            // One of the two sockets is closed.
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }
}
