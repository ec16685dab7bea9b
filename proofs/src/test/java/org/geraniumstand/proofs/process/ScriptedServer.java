package org.geraniumstand.proofs.process;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.geraniumstand.support.json.JsonTree;

/** A backend server that registers itself in the store and whose answers a script writes. */
final class ScriptedServer implements AutoCloseable {
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final int BACKLOG = 400;

    private final String id;
    private final String service;
    private final String dataCentre;
    private final int slots;
    private final RelayStore store;
    private final Script script;
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicLong heartbeats = new AtomicLong();
    private final long startEpochMillis = System.currentTimeMillis();

    /** Answers the requests of a server. */
    interface Script {
        void answer(HttpMessage request, Connection connection) throws IOException, InterruptedException;
    }

    /** The side of a connection that a script writes to. */
    final class Connection {
        private final Socket socket;
        private final OutputStream out;
        private boolean answering;

        private Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        String serverId() {
            return id;
        }

        /** Writes a part of the answer to the current request. */
        synchronized void write(String text) throws IOException {
            answering = true;
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** Resets the connection. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        private synchronized void endAnswer() {
            answering = false;
        }

        /** Writes a complete answer once more after a delay, unless another answer has begun by then. */
        @SuppressWarnings("FutureReturnValueIgnored")
        void repeatLater(String answer, long delayMillis) {
            endAnswer();
            timer.schedule(() -> repeat(answer), delayMillis, TimeUnit.MILLISECONDS);
        }

        private synchronized void repeat(String answer) {
            if (!answering) {
                try {
                    out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
                    out.flush();
                } catch (IOException _e) {
                    // The relay has closed the connection, so it does not receive the answer.
                }
            }
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored")
    ScriptedServer(RelayStore store, String id, String service, String dataCentre, int slots, Script script) {
        this.store = store;
        this.id = id;
        this.service = service;
        this.dataCentre = dataCentre;
        this.slots = slots;
        this.script = script;
        try {
            listener = new ServerSocket(Ports.free(), BACKLOG, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw Ports.failed(e);
        }
        timer.scheduleAtFixedRate(this::writeEntry, 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
        startThread(this::accept);
    }

    String id() {
        return id;
    }

    /** Returns the number of connections that were opened to this server. */
    int connections() {
        return connections.get();
    }

    @Override
    public void close() throws IOException {
        timer.shutdownNow();
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void writeEntry() {
        store.put(
                "servers/" + id,
                JsonTree.write(JsonTree.object()
                        .put("service", service)
                        .put("address", "127.0.0.1:" + listener.getLocalPort())
                        .put("zone", dataCentre)
                        .put("version", "v1")
                        .put("slots", slots)
                        .put("state", "ready")
                        .put("coldRemainingMs", 0)
                        .put("born", startEpochMillis)
                        .put("sequence", heartbeats.incrementAndGet())));
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                sockets.add(socket);
                connections.incrementAndGet();
                startThread(() -> serve(socket));
            } catch (IOException _e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Connection connection = new Connection(socket);
            while (true) {
                HttpMessage request = HttpMessage.read(in);
                script.answer(request, connection);
                connection.endAnswer();
            }
        } catch (IOException _e) {
            // The relay has closed the connection.
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        } finally {
            sockets.remove(socket);
        }
    }

    private void startThread(Runnable task) {
        Thread thread = new Thread(task, id);
        thread.setDaemon(true);
        thread.start();
    }
}
