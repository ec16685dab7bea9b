
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Many users come at once, each with an order of almost the size that the configuration allows. */
public final class Bodies {
    /** Bytes of a body; maxBodyBytes is 4,194,304. */
    private static final int BODY = 4_000_000;

    private static final int BURST = Integer.getInteger("burst", 40);
    private static final int CALM = 4;
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final int SLACK_MILLIS = 500;
    private static final AtomicInteger number = new AtomicInteger();
    private static final AtomicInteger pastTimeout = new AtomicInteger();
    private static final AtomicInteger unanswered = new AtomicInteger();

    private Bodies() {}

    private static void serve(Review.Replica replica, Review.Message request, Socket socket, java.io.OutputStream out)
            throws IOException {
        replica.record.line("run      %s at %s", request.header("attempt-id"), replica.id);
        Review.sleep(20);
        String body = "order of " + request.body.length + " bytes\n";
        out.write((Review.head(200, "OK", request, "Replica-Seal: seal-" + replica.id + "\r\nContent-Length: " + body.length() + "\r\n\r\n") + body)
                .getBytes());
        out.flush();
    }

    /** Sends an order; a client that has no answer half a second after the route's timeout closes its connection. */
    private static String send(Review.World world, int length) {
        Review.Entry entry = world.entries.get(0);
        String attempt = "order-" + number.incrementAndGet();
        long from = System.nanoTime();
        boolean[] late = {false};
        String result;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(entry.ip, entry.frontend), 1_000);
            Review.thread(() -> {
                Review.sleep(TIMEOUT_MILLIS + SLACK_MILLIS);
                late[0] = true;
                Review.reset(socket);
            });
            world.record.line("send     %s with %d bytes", attempt, length);
            socket.getOutputStream().write(Review.request("POST", "/orders/1", attempt, TIMEOUT_MILLIS, "", length).getBytes());
            byte[] part = new byte[64 * 1024];
            for (int sent = 0; sent < length; sent += part.length) {
                socket.getOutputStream().write(part, 0, Math.min(part.length, length - sent));
            }
            Review.Message answer = new Review.Message();
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            if (!Review.readHead(in, answer)) {
                result = "closed";
            } else {
                Review.readBody(in, answer, true);
                result = String.valueOf(answer.status());
            }
        } catch (IOException e) {
            result = "closed";
        }
        result = late[0] ? "no answer" : result;
        if (late[0] || System.nanoTime() - from >= TIMEOUT_MILLIS * 1_000_000L) {
            pastTimeout.incrementAndGet();
        }
        if (late[0]) {
            unanswered.incrementAndGet();
        }
        world.record.line("answer   %s %s after %d ms", attempt, result, (System.nanoTime() - from) / 1_000_000);
        return result;
    }

    private static Map<String, Integer> together(Review.World world, int count, int length, long gapMillis)
            throws InterruptedException {
        Map<String, Integer> results = new TreeMap<>();
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < count; c++) {
            clients.add(Review.thread(() -> {
                String result = send(world, length);
                synchronized (results) {
                    results.merge(result, 1, Integer::sum);
                }
            }));
            Review.sleep(gapMillis);
        }
        for (Thread client : clients) {
            client.join();
        }
        return results;
    }

    public static void main(String[] args) {
        Review.run(world -> {
            for (int i = 0; i < 3; i++) {
                world.replicas.add(new Review.Replica(
                        world.store, world.record, "desk-" + i, "desk", "zone-" + (char) ('a' + i), 6, Bodies::serve));
            }
            world.store.put(
                    "op/config",
                    Review.config(7, List.of(Review.route("orders", "desk", "unsafe", TIMEOUT_MILLIS, 1_000, 1, false))));
            world.startEntries(1);
            Map<String, Integer> before = together(world, 20, 600, 50);
            world.record.say("small orders before: %s", before);
            int count = Review.TROUBLE ? BURST : CALM;
            Map<String, Integer> burst = together(world, count, BODY, 0);
            world.record.say("%d orders of %d bytes at once: %s", count, BODY, burst);
            // Everything that the burst needed is over; the machine has had no disruption for longer than contactMs.
            Review.sleep(6_000);
            Map<String, Integer> after = together(world, 20, 600, 50);
            world.record.say("small orders 6 s later: %s; process alive: %s; ready: %s", after,
                    world.entries.get(0).alive(), world.entries.get(0).ready());
            if (before.getOrDefault("200", 0) < 20) {
                throw new IllegalStateException("the deployment does not serve without a disruption");
            }
            world.record.say("unanswered at timeoutMs: %d; of these without an answer half a second later: %d",
                    pastTimeout.get(), unanswered.get());
            // CONFIG: of the requests unanswered at timeoutMs, more than half have no answer half a second later.
            return 2 * unanswered.get() <= pastTimeout.get() && world.entries.get(0).alive() && world.entries.get(0).ready();
        });
    }
}
