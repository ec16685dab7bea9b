package org.geraniumstand.peer.net;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Passes connections on to a port; can make the open ones silent for good while new ones work, or refuse all. */
final class CuttingRelay implements AutoCloseable {
    private final ServerSocket server;
    private final int target;
    private final List<Pipe> pipes = new CopyOnWriteArrayList<>();
    private volatile boolean refusing;

    private static final class Pipe {
        private final Socket near;
        private final Socket far;
        private volatile boolean silent;

        private Pipe(Socket near, Socket far) {
            this.near = near;
            this.far = far;
        }
    }

    CuttingRelay(int target) throws IOException {
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

    /** Makes all open connections silent; none is closed. */
    void silence() {
        pipes.forEach(pipe -> pipe.silent = true);
    }

    /** Makes all open connections silent and closes new ones. */
    void cut(boolean isCut) {
        refusing = isCut;
        silence();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Pipe pipe : pipes) {
            pipe.near.close();
            pipe.far.close();
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket near = server.accept();
                if (refusing) {
                    near.close();
                    continue;
                }
                Pipe pipe = new Pipe(near, new Socket(InetAddress.getLoopbackAddress(), target));
                pipes.add(pipe);
                start(() -> copy(pipe, pipe.near, pipe.far));
                start(() -> copy(pipe, pipe.far, pipe.near));
            }
        } catch (IOException _e) {
            // The relay was closed.
        }
    }

    private static void copy(Pipe pipe, Socket from, Socket to) {
        byte[] buffer = new byte[8 * 1024];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int count = in.read(buffer);
            while (count >= 0) {
                if (!pipe.silent) {
                    out.write(buffer, 0, count);
                }
                count = in.read(buffer);
            }
            if (!pipe.silent) {
                to.close();
            }
        } catch (IOException _e) {
            // One of the two ends is closed.
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }
}
