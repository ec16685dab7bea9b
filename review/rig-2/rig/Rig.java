package rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Collectors;

/** A small deployment on loopback addresses. */
public final class Rig implements AutoCloseable {
    public static final String STORE = "127.0.3.1";
    public final Path root;
    public final Path folder;
    public final Record record;
    public final Store store;
    public final List<Node> nodes = new ArrayList<>();
    public final List<Replica> replicas = new ArrayList<>();

    public Rig(Path caseFolder) throws IOException {
        root = Path.of("").toAbsolutePath();
        folder = Files.createTempDirectory("review-2-");
        record = new Record(caseFolder.resolve("record.txt"));
        store = new Store(STORE, record);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> nodes.forEach(Node::end)));
    }

    /** Starts processes, one after the other in the zones a, b and c, and waits until all are ready. */
    public boolean startNodes(int count) throws IOException {
        int[] ports = new int[4];
        for (int i = 0; i < ports.length; i++) {
            ports[i] = freePort("127.0.1.1");
        }
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            addresses.add("127.0.1." + (i + 1));
        }
        String seeds = addresses.stream().limit(3).map(a -> "\"" + a + ":" + ports[2] + "\"").collect(Collectors.joining(", "));
        for (int i = 0; i < count; i++) {
            Node node = new Node(root, folder, "edge-" + "abc".charAt(i % 3) + "-" + (i / 3 + 1), zone(i), addresses.get(i), ports,
                    seeds, store, STORE, record);
            node.start();
            nodes.add(node);
        }
        long until = System.nanoTime() + 20_000_000_000L;
        for (Node node : nodes) {
            while (!node.ready()) {
                if (System.nanoTime() - until > 0) {
                    return false;
                }
                sleep(100);
            }
        }
        return true;
    }

    public static String zone(int number) {
        return "zone-" + "abc".charAt(number % 3);
    }

    public void addReplicas(String service, int count, int slots, boolean keepId, Replica.Server behaviour) throws IOException {
        for (int i = 0; i < count; i++) {
            replicas.add(new Replica(service, i + 1, slots, keepId, "127.0.2." + (replicas.size() + 1), zone(i), store, record,
                    behaviour));
        }
    }

    public static int freePort(String address) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
            return socket.getLocalPort();
        }
    }

    public static String attemptId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    public static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    public static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns whether the disruption is to be made; without it, the case must pass. */
    public static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    @Override
    public void close() throws IOException {
        nodes.forEach(Node::end);
        String keep = System.getenv("KEEP_LOGS");
        store.close();
        record.close();
        if (keep == null) {
            try (var files = Files.list(folder)) {
                files.forEach(file -> file.toFile().delete());
            }
            Files.delete(folder);
        } else {
            System.out.println("logs: " + folder);
        }
    }
}
