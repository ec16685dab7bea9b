
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** A faulty replica spoils the first line of some of its answers. */
public final class Spoilt {
    private static final String LINE = System.getProperty("line", "HTTP/1.1 2000 OK");
    private static final int CLIENTS = 16;
    private static final int TIMEOUT_MILLIS = 1_000;
    private static volatile boolean garble;
    private static final AtomicInteger number = new AtomicInteger();
    private static final AtomicInteger pastTimeout = new AtomicInteger();
    private static final AtomicInteger unanswered = new AtomicInteger();
    private static final AtomicInteger spoilt = new AtomicInteger();
    private static final Map<String, Integer> arrivals = new TreeMap<>();

    private Spoilt() {}

    private static void serve(Review.Replica replica, Review.Message request, Socket socket, java.io.OutputStream out)
            throws IOException {
        String attempt = request.header("attempt-id");
        synchronized (arrivals) {
            arrivals.merge(replica.id, 1, Integer::sum);
        }
        Review.sleep(20);
        boolean spoils = garble && replica.id.equals("desk-0") && ThreadLocalRandom.current().nextDouble() < 0.02;
        if (spoils) {
            spoilt.incrementAndGet();
        }
        replica.record.line("run      %s at %s%s", attempt, replica.id, spoils ? ", answer spoilt" : "");
        String head = Review.head(200, "OK", request, "Replica-Seal: seal-" + replica.id + "\r\nContent-Length: 3\r\n\r\n");
        out.write(((spoils ? head.replace("HTTP/1.1 200 OK", LINE) : head) + "ok\n").getBytes());
        out.flush();
    }

    private static String send(Review.World world, Review.Entry entry) {
        String attempt = "order-" + number.incrementAndGet();
        String result;
        long from = System.nanoTime();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(entry.ip, entry.frontend), 1_000);
            socket.setSoTimeout(TIMEOUT_MILLIS + 500);
            socket.getOutputStream()
                    .write((Review.request("POST", "/orders/1", attempt, TIMEOUT_MILLIS, "", 2) + "hi").getBytes());
            Review.Message answer = new Review.Message();
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            if (Review.readHead(in, answer)) {
                Review.readBody(in, answer, true);
                result = String.valueOf(answer.status());
            } else {
                result = "closed";
            }
        } catch (java.net.SocketTimeoutException e) {
            result = "no answer";
            unanswered.incrementAndGet();
        } catch (IOException e) {
            result = "closed";
        }
        long millis = (System.nanoTime() - from) / 1_000_000;
        if (millis >= TIMEOUT_MILLIS) {
            pastTimeout.incrementAndGet();
        }
        world.record.line("answer   %s of %s: %s after %d ms", attempt, entry.ip, result, millis);
        return result;
    }

    private static Map<String, Integer> traffic(Review.World world, long millis) throws InterruptedException {
        Map<String, Integer> results = new TreeMap<>();
        long end = System.currentTimeMillis() + millis;
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            Review.Entry entry = world.entries.get(c % world.entries.size());
            clients.add(Review.thread(() -> {
                while (System.currentTimeMillis() < end) {
                    String result = send(world, entry);
                    synchronized (results) {
                        results.merge(result, 1, Integer::sum);
                    }
                    Review.sleep(20);
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        return results;
    }

    private static Map<String, Integer> takeArrivals() {
        synchronized (arrivals) {
            Map<String, Integer> taken = new TreeMap<>(arrivals);
            arrivals.clear();
            return taken;
        }
    }

    public static void main(String[] args) {
        Review.run(world -> {
            for (int i = 0; i < 3; i++) {
                world.replicas.add(new Review.Replica(
                        world.store, world.record, "desk-" + i, "desk", "zone-" + (char) ('a' + i), 6, Spoilt::serve));
            }
            world.store.put(
                    "op/config",
                    Review.config(7, List.of(Review.route("orders", "desk", "unsafe", TIMEOUT_MILLIS, 121, 1, false))));
            world.startEntries(2);
            world.record.say("before: %s, arrivals %s", traffic(world, 3_000), takeArrivals());
            garble = Review.TROUBLE;
            world.record.say("5.5 s in which desk-0 may spoil answers: %s, arrivals %s, spoilt %d", traffic(world, 5_500),
                    takeArrivals(), spoilt.get());
            garble = false;
            Review.sleep(4_000);
            world.record.say("4 s after its end: %s, arrivals %s", traffic(world, 4_000), takeArrivals());
            world.record.say("unanswered at timeoutMs: %d, of these half a second later: %d", pastTimeout.get(), unanswered.get());
            // CONFIG: of the requests unanswered at timeoutMs, more than half have no answer half a second later.
            return 2 * unanswered.get() <= pastTimeout.get();
        });
    }
}
