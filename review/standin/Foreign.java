import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Another writer's entry lies under servers/ for a while, while requests wait for a free replica. */
public final class Foreign {
    private static final String ADDRESS = System.getProperty("address", "fe80::1:8308");
    private static final int PROCESSES = Integer.getInteger("processes", 3);
    private static final int CLIENTS = 150;
    private static final int TIMEOUT_MILLIS = 2_000;
    private static final AtomicInteger number = new AtomicInteger();
    private static final AtomicInteger pastTimeout = new AtomicInteger();
    private static final AtomicInteger unanswered = new AtomicInteger();

    private Foreign() {}

    private static void serve(Review.Replica replica, Review.Message request, Socket socket, java.io.OutputStream out)
            throws IOException {
        replica.record.line("run      %s at %s", request.header("attempt-id"), replica.id);
        Review.sleep(300);
        out.write((Review.head(200, "OK", request, "Replica-Seal: seal-" + replica.id + "\r\nContent-Length: 3\r\n\r\n") + "ok\n").getBytes());
        out.flush();
    }

    private static String send(Review.World world, Review.Entry entry, String path) {
        String attempt = "o" + number.incrementAndGet();
        String result;
        long from = System.nanoTime();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(entry.ip, entry.frontend), 1_000);
            socket.setSoTimeout(TIMEOUT_MILLIS + 500);
            socket.getOutputStream().write((Review.request("POST", path, attempt, TIMEOUT_MILLIS, "", 2) + "hi").getBytes());
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
        world.record.line("answer   %s of %s for %s: %s after %d ms", attempt, entry.ip, path, result, millis);
        return result;
    }

    public static void main(String[] args) {
        Review.run(world -> {
            for (int i = 0; i < 3; i++) {
                world.replicas.add(new Review.Replica(
                        world.store, world.record, "desk-" + i, "desk", "zone-" + (char) ('a' + i), 6, Foreign::serve));
            }
            String orders = Review.route("orders", "desk", "unsafe", TIMEOUT_MILLIS, 500, 1, false);
            String fresh = Review.route("fresh", "desk", "unsafe", TIMEOUT_MILLIS, 500, 1, false);
            world.store.put("op/config", Review.config(7, List.of(orders)));
            world.startEntries(PROCESSES);
            Map<String, Integer> results = new TreeMap<>();
            long end = System.currentTimeMillis() + 16_000;
            List<Thread> clients = new ArrayList<>();
            for (int c = 0; c < CLIENTS; c++) {
                Review.Entry entry = world.entries.get(c % world.entries.size());
                clients.add(Review.thread(() -> {
                    while (System.currentTimeMillis() < end) {
                        String result = send(world, entry, "/orders/1");
                        synchronized (results) {
                            results.merge(result, 1, Integer::sum);
                        }
                        if (!result.equals("200")) {
                            Review.sleep(100);
                        }
                    }
                }));
            }
            Review.sleep(3_000);
            for (int spell = 0; Review.TROUBLE && spell < 3; spell++) {
                world.record.say("another writer puts servers/i-foreign with the address %s", ADDRESS);
                world.store.put("servers/i-foreign", "{\"service\":\"desk\",\"address\":\"" + ADDRESS
                        + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,"
                        + "\"born\":" + System.currentTimeMillis() + ",\"sequence\":1}");
                Review.sleep(2_000);
                world.record.say("the entry is removed");
                world.store.delete("servers/i-foreign");
                Review.sleep(2_000);
            }
            for (Thread client : clients) {
                client.join();
            }
            world.record.say("orders: %s; unanswered at timeoutMs: %d, of these half a second later: %d", results,
                    pastTimeout.get(), unanswered.get());
            world.record.say("the operator adds a route; the store acknowledges version 8");
            world.store.put("op/config", Review.config(8, List.of(orders, fresh)));
            Review.sleep(8_000);
            Map<String, Integer> later = new TreeMap<>();
            for (int i = 0; i < 30; i++) {
                later.merge(send(world, world.entries.get(i % world.entries.size()), "/fresh/1"), 1, Integer::sum);
                Review.sleep(100);
            }
            world.record.say("requests for the new route 8 s after the acknowledgement: %s", later);
            return 2 * unanswered.get() <= pastTimeout.get() && !later.containsKey("404");
        });
    }
}
