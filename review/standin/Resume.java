import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Streams that break off are resumed while other replicas turn a part of the requests away. */
public final class Resume {
    private static final int EVENTS = 24;
    private static final int EVENT_MILLIS = 50;
    private static final int CLIENTS = 60;
    private static final long RUN_MILLIS = 36_000;
    private static volatile boolean grey;

    private Resume() {}

    private static String event(String attempt, int number) {
        return "id: " + number + "\ndata: " + attempt + " piece " + number + "\n\n";
    }

    private static void serve(Review.Replica replica, Review.Message request, Socket socket, java.io.OutputStream out)
            throws IOException {
        String attempt = request.header("attempt-id");
        if (grey && ThreadLocalRandom.current().nextDouble() < 0.45) {
            String body = "the replica is full\n";
            replica.record.line("shed     %s at %s", attempt, replica.id);
            out.write((Review.head(503, "Service Unavailable", request, "Not-Executed: 1\r\nContent-Type: text/plain\r\nContent-Length: " + body.length()
                            + "\r\n\r\n") + body)
                    .getBytes());
            return;
        }
        String last = request.header("last-event-id");
        int from = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
        replica.record.line("run      %s at %s from event %d", attempt, replica.id, from);
        out.write(Review.head(
                        200,
                        "OK",
                        request,
                        "Replica-Seal: seal-" + replica.id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes());
        for (int i = from; i <= EVENTS; i++) {
            Review.sleep(EVENT_MILLIS);
            String event = event(attempt, i);
            out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes());
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes());
        out.flush();
    }

    public static void main(String[] args) {
        Review.run(world -> {
            for (int i = 0; i < 4; i++) {
                world.replicas.add(new Review.Replica(
                        world.store, world.record, "model-" + i, "model", "zone-" + (char) ('a' + i % 3), 64, Resume::serve));
            }
            world.store.put("op/config", Review.config(7, List.of(Review.route("notes", "model", "streaming", 15_000, 1_500, 2, true))));
            world.startEntries(2);
            AtomicInteger number = new AtomicInteger();
            AtomicInteger whole = new AtomicInteger();
            AtomicInteger cut = new AtomicInteger();
            AtomicInteger refused = new AtomicInteger();
            AtomicInteger wrong = new AtomicInteger();
            long end = System.currentTimeMillis() + RUN_MILLIS;
            List<Thread> clients = new ArrayList<>();
            for (int c = 0; c < CLIENTS; c++) {
                Review.Entry entry = world.entries.get(c % world.entries.size());
                Review.sleep(40);
                clients.add(Review.thread(() -> {
                    while (System.currentTimeMillis() < end) {
                        String attempt = String.format("a%06d", number.incrementAndGet());
                        StringBuilder expected = new StringBuilder();
                        for (int i = 1; i <= EVENTS; i++) {
                            expected.append(event(attempt, i));
                        }
                        Review.Message answer = new Review.Message();
                        try (Socket socket = new Socket(entry.ip, entry.frontend)) {
                            socket.setSoTimeout(16_000);
                            socket.getOutputStream()
                                    .write((Review.request(
                                                            "POST",
                                                            "/notes/1",
                                                            attempt,
                                                            15_000,
                                                            "Model: m\r\nToken-Count: 100,120\r\nPrompt-Prefix: 5c1e07a2:60,"
                                                                    + Integer.toHexString(attempt.hashCode()) + ":40\r\n",
                                                            2)
                                                    + "hi")
                                            .getBytes());
                            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
                            if (Review.readHead(in, answer)) {
                                Review.readBody(in, answer, true);
                            }
                        } catch (IOException e) {
                            // What was read until then is judged.
                        }
                        boolean prefix = expected.toString().startsWith(answer.text());
                        if (answer.status() != 200) {
                            refused.incrementAndGet();
                        } else if (answer.complete && answer.text().contentEquals(expected)) {
                            whole.incrementAndGet();
                        } else if (!answer.complete && prefix) {
                            cut.incrementAndGet();
                        } else {
                            wrong.incrementAndGet();
                            world.record.line("WRONG    %s complete=%s body %s", attempt, answer.complete,
                                    Review.Json.quote(answer.text()));
                        }
                        world.record.line("answer   %s %s complete=%s bytes=%d", attempt, answer.first, answer.complete, answer.body.length);
                        if (answer.status() != 200) {
                            Review.sleep(300);
                        }
                    }
                }));
            }
            for (int round = 0; round < 3; round++) {
                Review.sleep(3_000);
                if (Review.TROUBLE) {
                    world.record.say("replicas turn away 45 in 100 requests for 6.5 s");
                    grey = true;
                    Review.sleep(2_000);
                    world.record.say("model-%d crashes", round);
                    world.replicas.get(round).crash();
                    Review.sleep(4_400);
                    grey = false;
                    world.record.say("the crashed replica is back as model-%d", 4 + round);
                    world.replicas.add(new Review.Replica(
                            world.store, world.record, "model-" + (4 + round), "model", "zone-a", 64, Resume::serve));
                } else {
                    Review.sleep(6_400);
                }
            }
            for (Thread client : clients) {
                client.join();
            }
            world.record.say("streams: %d whole, %d refused or failed, %d cut with only their own events, %d with foreign bytes",
                    whole.get(), refused.get(), cut.get(), wrong.get());
            if (whole.get() < 100) {
                throw new IllegalStateException("too few streams were served");
            }
            return wrong.get() == 0;
        });
    }
}
