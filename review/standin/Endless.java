import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A faulty replica sends bytes that are no answer, without end, in the body of some of its streams. */
public final class Endless {
    private static final int ORDER_TIMEOUT_MILLIS = 1_000;
    private static final int STREAM_TIMEOUT_MILLIS = 15_000;

    /** Time without an event after which a client abandons a stream: four times the objective of 1,500. */
    private static final int GAP_MILLIS = 6_000;

    private static volatile boolean garble;
    private static final AtomicInteger number = new AtomicInteger();
    private static final AtomicInteger pastTimeout = new AtomicInteger();
    private static final AtomicInteger unanswered = new AtomicInteger();
    private static final AtomicInteger endless = new AtomicInteger();
    private static final AtomicLong bytes = new AtomicLong();
    private static final Map<String, Integer> results = new TreeMap<>();

    private Endless() {}

    private static void serve(Review.Replica replica, Review.Message request, Socket socket, java.io.OutputStream out)
            throws IOException {
        String attempt = request.header("attempt-id");
        boolean stream = replica.service.equals("model");
        boolean spoils = garble && replica.id.equals("model-0") && ThreadLocalRandom.current().nextDouble() < 0.02;
        replica.record.line("run      %s at %s%s", attempt, replica.id, spoils ? ", bytes without end" : "");
        Review.sleep(20);
        if (!stream) {
            out.write((Review.head(200, "OK", request, "Replica-Seal: seal-" + replica.id + "\r\nContent-Length: 3\r\n\r\n") + "ok\n")
                    .getBytes());
            return;
        }
        if (spoils) {
            endless.incrementAndGet();
            out.write(Review.head(200, "OK", request, "Replica-Seal: seal-" + replica.id + "\r\nContent-Type: text/event-stream\r\n\r\n")
                    .getBytes());
            byte[] lines = new byte[32 * 1024];
            Arrays.fill(lines, (byte) '\n');
            try {
                // Until the caller closes.
                while (true) {
                    out.write(lines);
                    bytes.addAndGet(lines.length);
                }
            } finally {
                replica.record.line("closed   %s at %s", attempt, replica.id);
            }
        }
        out.write(Review.head(
                        200,
                        "OK",
                        request,
                        "Replica-Seal: seal-" + replica.id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes());
        for (int i = 1; i <= 8; i++) {
            Review.sleep(20);
            String event = "id: " + i + "\ndata: " + attempt + "\n\n";
            out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes());
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes());
    }

    private static void count(String result) {
        synchronized (results) {
            results.merge(result, 1, Integer::sum);
        }
    }

    /** Sends an order, and waits until half a second after the route's timeout. */
    private static void order(Review.World world, Review.Entry entry) {
        String attempt = "order-" + number.incrementAndGet();
        String result;
        long from = System.nanoTime();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(entry.ip, entry.frontend), 1_000);
            socket.setSoTimeout(ORDER_TIMEOUT_MILLIS + 500);
            socket.getOutputStream()
                    .write((Review.request("POST", "/orders/1", attempt, ORDER_TIMEOUT_MILLIS, "", 2) + "hi").getBytes());
            Review.Message answer = new Review.Message();
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            if (Review.readHead(in, answer)) {
                Review.readBody(in, answer, true);
                result = String.valueOf(answer.status());
            } else {
                result = "closed";
            }
        } catch (SocketTimeoutException e) {
            result = "no answer";
            unanswered.incrementAndGet();
        } catch (IOException e) {
            result = "closed";
        }
        long millis = (System.nanoTime() - from) / 1_000_000;
        if (millis >= ORDER_TIMEOUT_MILLIS) {
            pastTimeout.incrementAndGet();
        }
        count("order " + result);
        world.record.line("answer   %s of %s: %s after %d ms", attempt, entry.ip, result, millis);
    }

    /** Sends a request for a stream, reads what comes, and abandons it after a gap without an event. */
    private static void stream(Review.World world, Review.Entry entry) {
        String attempt = "notes-" + number.incrementAndGet();
        String result;
        long from = System.currentTimeMillis();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(entry.ip, entry.frontend), 1_000);
            socket.setSoTimeout(GAP_MILLIS);
            socket.getOutputStream()
                    .write((Review.request(
                                            "POST",
                                            "/notes/1",
                                            attempt,
                                            STREAM_TIMEOUT_MILLIS,
                                            "Model: m\r\nToken-Count: 100,40\r\nPrompt-Prefix: 5c1e07a2:60,"
                                                    + Integer.toHexString(attempt.hashCode()) + ":40\r\n",
                                            2)
                                    + "hi")
                            .getBytes());
            InputStream in = socket.getInputStream();
            byte[] part = new byte[256 * 1024];
            long eventMillis = from;
            StringBuilder tail = new StringBuilder();
            result = "closed";
            while (true) {
                int read = in.read(part);
                long now = System.currentTimeMillis();
                if (read < 0) {
                    break;
                }
                String text = new String(part, 0, read, java.nio.charset.StandardCharsets.ISO_8859_1);
                if (text.contains("data:")) {
                    eventMillis = now;
                }
                tail.append(text, Math.max(0, text.length() - 40), text.length());
                tail.delete(0, Math.max(0, tail.length() - 40));
                if (tail.toString().endsWith("0\r\n\r\n")) {
                    result = "whole";
                    break;
                }
                if (now - from < 1_000 && tail.indexOf("outcome") >= 0) {
                    result = "refused";
                    break;
                }
                if (now - eventMillis > GAP_MILLIS || now - from > STREAM_TIMEOUT_MILLIS) {
                    result = "abandoned";
                    break;
                }
            }
        } catch (SocketTimeoutException e) {
            result = "abandoned";
        } catch (IOException e) {
            result = "closed";
        }
        count("stream " + result);
        world.record.line("answer   %s of %s: %s after %d ms", attempt, entry.ip, result, System.currentTimeMillis() - from);
    }

    public static void main(String[] args) {
        Review.run(world -> {
            for (int i = 0; i < 3; i++) {
                String zone = "zone-" + (char) ('a' + i);
                world.replicas.add(new Review.Replica(world.store, world.record, "desk-" + i, "desk", zone, 6, Endless::serve));
                world.replicas.add(new Review.Replica(world.store, world.record, "model-" + i, "model", zone, 64, Endless::serve));
            }
            world.store.put(
                    "op/config",
                    Review.config(7, List.of(
                            Review.route("orders", "desk", "unsafe", ORDER_TIMEOUT_MILLIS, 121, 1, false),
                            Review.route("notes", "model", "streaming", STREAM_TIMEOUT_MILLIS, 1_500, 2, true))));
            world.startEntries(2);
            long end = System.currentTimeMillis() + 25_000;
            List<Thread> clients = new ArrayList<>();
            for (int c = 0; c < 40; c++) {
                boolean order = c % 4 == 0;
                Review.Entry entry = world.entries.get(c / 4 % 2);
                clients.add(Review.thread(() -> {
                    while (System.currentTimeMillis() < end) {
                        if (order) {
                            order(world, entry);
                        } else {
                            stream(world, entry);
                        }
                        Review.sleep(50);
                    }
                }));
            }
            Review.sleep(4_000);
            world.record.say("before: %s", results);
            garble = Review.TROUBLE;
            Review.sleep(5_500);
            garble = false;
            world.record.say("after 5.5 s in which model-0 may send without end: %s, %d such answers", results, endless.get());
            for (Thread client : clients) {
                client.join();
            }
            world.record.say("at the end: %s, %d MB sent without end", results, bytes.get() / 1_000_000);
            world.record.say("orders unanswered at timeoutMs: %d, of these half a second later: %d", pastTimeout.get(), unanswered.get());
            // CONFIG: of the requests unanswered at timeoutMs, more than half have no answer half a second later.
            return 2 * unanswered.get() <= pastTimeout.get();
        });
    }
}
