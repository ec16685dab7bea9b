import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Faulty replicas send additional bytes after a complete answer, late. */
public final class Extra {
    private static final int CLIENTS = Integer.getInteger("clients", 30);
    private static volatile boolean garble;
    private static final Map<String, Integer> runs = new ConcurrentHashMap<>();

    private Extra() {}

    /** The answer of a full replica, as `fleetbench wire` prints it: without an Attempt-Id. */
    private static final byte[] SHED =
            "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".getBytes();

    private static final int SLOTS = 2;
    private static final int QUEUE = 2;
    private static final Map<String, Desk> desks = new ConcurrentHashMap<>();
    private static final AtomicInteger sheds = new AtomicInteger();
    private static final AtomicInteger copies = new AtomicInteger();
    private static final AtomicInteger copiesOfSheds = new AtomicInteger();

    /** The places of one replica. */
    private static final class Desk {
        final java.util.concurrent.Semaphore slots = new java.util.concurrent.Semaphore(SLOTS, true);
        final AtomicInteger present = new AtomicInteger();
    }

    private static void serve(Review.Replica replica, Review.Message request, Socket socket, java.io.OutputStream out)
            throws IOException {
        String attempt = request.header("attempt-id");
        Desk desk = desks.computeIfAbsent(replica.id, id -> new Desk());
        byte[] answer;
        if (desk.present.incrementAndGet() > SLOTS + QUEUE) {
            desk.present.decrementAndGet();
            sheds.incrementAndGet();
            replica.record.line("shed     %s at %s", attempt, replica.id);
            answer = SHED;
        } else {
            desk.slots.acquireUninterruptibly();
            replica.record.line("run      %s at %s", attempt, replica.id);
            runs.merge(attempt, 1, Integer::sum);
            Review.sleep(20);
            desk.slots.release();
            desk.present.decrementAndGet();
            String body = "reserved for " + attempt + "\n";
            answer = (Review.head(200, "OK", request, "Replica-Seal: seal-" + replica.id + "\r\nContent-Length: " + body.length() + "\r\n\r\n") + body)
                    .getBytes();
        }
        synchronized (out) {
            out.write(answer);
            out.flush();
        }
        // Two of three replicas send a second answer after 3 in 100 of their answers, late.
        if (garble && !replica.id.endsWith("2") && ThreadLocalRandom.current().nextDouble() < 0.03) {
            copies.incrementAndGet();
            if (answer == SHED) {
                copiesOfSheds.incrementAndGet();
            }
            Review.thread(() -> {
                Review.sleep(ThreadLocalRandom.current().nextInt(1, 15));
                try {
                    synchronized (out) {
                        out.write(answer);
                        out.flush();
                        replica.record.line("again    the answer to %s at %s", attempt, replica.id);
                    }
                } catch (IOException e) {
                    // The connection was closed.
                }
            });
        }
    }

    public static void main(String[] args) {
        Review.run(world -> {
            for (int i = 0; i < 3; i++) {
                world.replicas.add(new Review.Replica(
                        world.store, world.record, "desk-" + i, "desk", "zone-" + (char) ('a' + i), SLOTS, Extra::serve));
            }
            world.store.put("op/config", Review.config(7, List.of(Review.route("orders", "desk", "unsafe", 1_000, 121, 1, false))));
            world.startEntries(2);
            Map<String, Integer> results = new TreeMap<>();
            Map<String, String> byAttempt = new ConcurrentHashMap<>();
            AtomicInteger number = new AtomicInteger();
            Review.thread(() -> {
                // Five spells of 5 s, with 2 s between them.
                for (int spell = 0; spell < 5; spell++) {
                    garble = Review.TROUBLE;
                    Review.sleep(5_000);
                    garble = false;
                    Review.sleep(2_000);
                }
            });
            long end = System.currentTimeMillis() + 35_000;
            List<Thread> clients = new ArrayList<>();
            for (int c = 0; c < CLIENTS; c++) {
                Review.Entry entry = world.entries.get(c % 2);
                clients.add(Review.thread(() -> {
                    for (int i = 0; System.currentTimeMillis() < end; i++) {
                        String attempt = "o" + number.incrementAndGet();
                        String result;
                        try (Socket socket = new Socket()) {
                            socket.connect(new InetSocketAddress(entry.ip, entry.frontend), 1_000);
                            socket.setSoTimeout(1_500);
                            socket.getOutputStream().write((Review.request("POST", "/orders/1", attempt, 1_000, "", 2) + "hi").getBytes());
                            Review.Message answer = new Review.Message();
                            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
                            if (Review.readHead(in, answer)) {
                                Review.readBody(in, answer, true);
                                result = String.valueOf(answer.status());
                            } else {
                                result = "closed";
                            }
                        } catch (IOException e) {
                            result = "closed";
                        }
                        byAttempt.put(attempt, result);
                        world.record.line("answer   %s %s", attempt, result);
                        synchronized (results) {
                            results.merge(result, 1, Integer::sum);
                        }
                        Review.sleep(ThreadLocalRandom.current().nextInt(20, 80));
                    }
                }));
            }
            for (Thread client : clients) {
                client.join();
            }
            Review.sleep(1_000);
            long twice = runs.values().stream().filter(count -> count > 1).count();
            long refused = byAttempt.entrySet().stream()
                    .filter(entry -> entry.getValue().equals("503") && runs.containsKey(entry.getKey()))
                    .count();
            world.record.say("sheds %d, second answers %d, of these of sheds %d", sheds.get(), copies.get(), copiesOfSheds.get());
            world.record.say("orders: %s; run more than once: %d; refused with 503 and run: %d", results, twice, refused);
            return twice + refused == 0;
        });
    }
}
