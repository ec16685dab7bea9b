package rig;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A replica: it registers in the store, serves one request at a time on a connection, and can crash and start again. */
public final class Replica {
    private static final AtomicLong STARTS = new AtomicLong();

    public final String service;
    public final int number;
    public final int slots;
    private final boolean keepsId;
    private final Store store;
    private final Record record;
    private final String address;
    private final String zone;
    private final Server behaviour;
    private final AtomicInteger running = new AtomicInteger();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket listener;
    private volatile boolean up;
    private volatile String id;
    private volatile long born;
    private volatile long sequence;
    private final int port;
    private volatile boolean leaving;
    private volatile long lateMillis;
    private volatile long coldUntilNanos = System.nanoTime();

    /** Answers a request that this replica was meant to get; returns whether the connection may be kept. */
    @FunctionalInterface
    public interface Server {
        boolean serve(Replica replica, Http.Head head, byte[] body, Socket socket) throws IOException, InterruptedException;
    }

    public Replica(String service, int number, int slots, boolean keepsId, String address, String zone, Store store,
            Record record, Server behaviour) throws IOException {
        this.service = service;
        this.number = number;
        this.slots = slots;
        this.keepsId = keepsId;
        this.address = address;
        this.zone = zone;
        this.store = store;
        this.record = record;
        this.behaviour = behaviour;
        this.port = Rig.freePort(address);
        start();
        Thread beats = Rig.daemon(() -> {
            while (true) {
                Rig.sleep(1_200);
                if (up && lateMillis > 0) {
                    beatLate(lateMillis);
                    lateMillis = 0;
                } else if (up) {
                    beat();
                }
            }
        });
        beats.start();
    }

    public String id() {
        return id;
    }

    public boolean up() {
        return up;
    }

    public String load() {
        return running.get() + ",0," + slots;
    }

    private synchronized void start() throws IOException {
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName(address), port), 500);
        born = System.currentTimeMillis();
        sequence = 1;
        id = keepsId ? "i-" + service + "-" + number : "i-" + service + "-" + number + "-" + STARTS.incrementAndGet();
        up = true;
        ServerSocket accepting = listener;
        Rig.daemon(() -> accept(accepting)).start();
        beat();
        record.line("replica %s starts, born %d", id, born);
    }

    /** Returns how long this replica stays cold. */
    public long coldMillis() {
        return Math.max(0, (coldUntilNanos - System.nanoTime()) / 1_000_000);
    }

    /** Becomes cold, and writes that to the store if the store takes it; health answers tell it in any case. */
    public void turnCold(long millis) {
        coldUntilNanos = System.nanoTime() + millis * 1_000_000;
        record.line("replica %s is cold for %d ms", id, millis);
        beat();
    }

    /** Reports that this replica leaves; it goes on to serve. */
    public void drain() {
        leaving = true;
        record.line("replica %s reports that it is draining", id);
        beat();
    }

    /** Makes the next heartbeat a write that gets no answer and is executed later; returns when it has been sent. */
    public void loseNextBeat(long delayMillis) {
        lateMillis = delayMillis;
        while (lateMillis > 0) {
            Rig.sleep(5);
        }
    }

    private void beatLate(long delayMillis) {
        sequence++;
        String entry = entry();
        long written = sequence;
        record.line("replica %s writes sequence %d, the answer is lost", id, written);
        Rig.daemon(() -> {
            Rig.sleep(delayMillis);
            record.line("the store executes the write of sequence %d", written);
            store.put("servers/" + id, entry);
        }).start();
    }

    private void beat() {
        if (!store.answers()) {
            return;
        }
        sequence++;
        store.put("servers/" + id, entry());
    }

    private String entry() {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address + ":" + port + "\",\"zone\":\""
                + zone + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + (leaving ? "draining" : "ready") + "\",\"coldRemainingMs\":" + coldMillis() + ",\"stage\":"
                + "\"combined\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":" + sequence
                + ",\"born\":" + born + "}";
    }

    /** Resets all connections and stops to listen; starts again after a time. */
    public synchronized void crash(long downMillis, String cause) {
        if (!up) {
            return;
        }
        up = false;
        String crashed = id;
        long crashedBorn = born;
        record.line("replica %s crashes: %s", crashed, cause);
        close(listener);
        for (Socket socket : connections) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // The connection has ended by itself.
            }
        }
        connections.clear();
        Rig.daemon(() -> {
            Rig.sleep(downMillis);
            try {
                start();
            } catch (IOException e) {
                record.line("replica %s cannot start again: %s", crashed, e);
            }
        }).start();
        if (!keepsId) {
            Rig.daemon(() -> {
                // Three heartbeat intervals of silence.
                Rig.sleep(3_600);
                store.remove("servers/" + crashed);
            }).start();
        }
        if (crashedBorn == 0) {
            throw new IllegalStateException();
        }
    }

    /** Ends for good: removes its entry and closes its connections. */
    public synchronized void exit() {
        up = false;
        record.line("replica %s exits", id);
        store.remove("servers/" + id);
        close(listener);
        for (Socket socket : connections) {
            try {
                socket.close();
            } catch (IOException e) {
                // The connection has ended by itself.
            }
        }
    }

    private static void close(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Nothing listens any more.
        }
    }

    private void accept(ServerSocket from) {
        while (true) {
            try {
                Socket socket = from.accept();
                socket.setTcpNoDelay(true);
                connections.add(socket);
                Rig.daemon(() -> serve(socket)).start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = Http.buffered(socket.getInputStream());
            boolean keep = true;
            while (keep) {
                Http.Head head = Http.readHead(in);
                if (head == null) {
                    return;
                }
                byte[] body = Http.readBody(in, head, false);
                keep = answer(socket, head, body);
            }
        } catch (IOException e) {
            // The other end is gone, or this replica has crashed.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            connections.remove(socket);
        }
    }

    private boolean answer(Socket socket, Http.Head head, byte[] body) throws IOException, InterruptedException {
        OutputStream out = socket.getOutputStream();
        if (head.path().equals("/healthz")) {
            out.write(Http.bytes("HTTP/1.1 200 OK\r\nReplica-Id: " + id + "\r\nReplica-Load: " + load()
                    + (coldMillis() > 0 ? "\r\nCold-Ms: " + coldMillis() : "") + "\r\nContent-Length: 0\r\n\r\n"));
            return true;
        }
        String attempt = head.get("attempt-id", "");
        String expected = head.get("expect-replica");
        if (expected != null && !expected.equals(id)) {
            out.write(Http.bytes("HTTP/1.1 421 Misdirected Request\r\nReplica-Id: " + id + "\r\nAttempt-Id: " + attempt
                    + "\r\nContent-Length: 0\r\n\r\n"));
            return true;
        }
        if (running.get() >= slots) {
            out.write(Http.bytes("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nAttempt-Id: " + attempt
                    + "\r\nReplica-Load: " + load() + "\r\nContent-Length: 0\r\n\r\n"));
            return true;
        }
        running.incrementAndGet();
        try {
            return behaviour.serve(this, head, body, socket);
        } finally {
            running.decrementAndGet();
        }
    }

    /** Returns the head of a success without its framing headers and the empty line. */
    public String successHead(String attempt) {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nReplica-Seal: seal." + id + "." + attempt
                + "\r\nReplica-Load: " + load() + "\r\n" + (leaving ? "Server-Leaving: 1\r\n" : "");
    }
}
