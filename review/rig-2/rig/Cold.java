package rig;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** A replica becomes cold while the platform's store is down. Arguments: folder, requests a second. */
public final class Cold {
    private static final double COLD_PER_SECOND = 17;
    private static final double OVERRUN = 1.5;
    private static final double TOLERANCE = 5;
    private static final long COLD_MILLIS = 3_000;
    private static final long OUTAGE_MILLIS = 4_500;
    private static final long DOWN_MILLIS = 3_000;

    private Cold() {}

    public static void main(String[] arguments) {
        int code = 2;
        try (Rig rig = new Rig(Path.of(arguments[0]))) {
            code = new Run(rig, Double.parseDouble(arguments[1])).play();
        } catch (Exception e) {
            code = 2;
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static final class Run {
        private final Rig rig;
        private final double perSecond;
        private final List<Double> coldArrivals = Collections.synchronizedList(new ArrayList<>());
        private final AtomicInteger sent = new AtomicInteger();
        private final AtomicInteger served = new AtomicInteger();
        private final AtomicInteger cut = new AtomicInteger();

        Run(Rig rig, double perSecond) {
            this.rig = rig;
            this.perSecond = perSecond;
        }

        int play() throws Exception {
            Record record = rig.record;
            rig.store.put("op/config", Config.all(1,
                    Config.route("help", "/help/", "streaming", 3000, 1000, "model", 1, false),
                    Config.model("model", 64, 360, 3, COLD_PER_SECOND)));
            rig.addReplicas("model", 3, 64, false, this::serve);
            if (!rig.startNodes(3)) {
                record.say("the processes are not ready");
                return 2;
            }
            Rig.sleep(6_000);
            record.say("traffic begins");
            double start = record.seconds();
            Thread traffic = Rig.daemon(() -> send(start, 22));
            traffic.start();
            Rig.sleep(10_000);
            if (Rig.trouble()) {
                record.say("the store falls silent for %d ms", OUTAGE_MILLIS);
                rig.store.fallSilent();
            }
            Rig.sleep(1_000);
            record.say("a replica becomes cold");
            rig.replicas.get(0).turnCold(COLD_MILLIS);
            Rig.sleep(OUTAGE_MILLIS - 1_000);
            rig.store.answerAgain();
            traffic.join(20_000);
            Rig.sleep(3_000);
            for (Node node : rig.nodes) {
                if (!node.process.isAlive()) {
                    record.say("process %s has ended", node.name);
                    return 2;
                }
            }
            return judge();
        }

        private void send(double from, double length) {
            for (int i = 0; i / perSecond < length; i++) {
                Rig.sleep(Math.max(0, (long) ((from + i / perSecond - rig.record.seconds()) * 1_000)));
                Rig.daemon(this::sendOne).start();
            }
        }

        private void sendOne() {
            ThreadLocalRandom random = ThreadLocalRandom.current();
            Node node = rig.nodes.get(random.nextInt(rig.nodes.size()));
            String attempt = Rig.attemptId();
            String prompt = String.format("5c%06x:341,%08x:227,%08x:800", random.nextInt(20), 0x70000000 + random.nextInt(151),
                    random.nextInt());
            sent.incrementAndGet();
            rig.record.line("sent %s to %s", attempt, node.name);
            Client.Result result = Client.send(node, "POST", "/help/1", attempt,
                    Map.of("Model", "m", "Token-Count", "1368,25", "Prompt-Prefix", prompt), new byte[4_700], 3_000);
            rig.record.line("answered %s status=%d whole=%s %s", attempt, result.status(), result.whole(), result.error());
            if (result.status() == 200 && result.whole()) {
                served.incrementAndGet();
            } else if (!result.whole() || result.status() == 502) {
                cut.incrementAndGet();
            }
        }

        private boolean serve(Replica replica, Http.Head head, byte[] body, Socket socket)
                throws IOException, InterruptedException {
            String attempt = head.get("attempt-id", "");
            boolean cold = replica.coldMillis() > 0;
            rig.record.line("arrives %s at %s%s", attempt, replica.id(), cold ? ", which is cold" : "");
            if (cold && tooMany()) {
                replica.crash(DOWN_MILLIS, "too many requests while it is cold");
                return false;
            }
            Thread.sleep(cold ? 100 : 80);
            OutputStream out = socket.getOutputStream();
            out.write(Http.bytes(replica.successHead(attempt)
                    + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
            for (int i = 1; i <= 5; i++) {
                String event = "id: " + i + "\ndata: " + "x".repeat(40) + "\n\n";
                out.write(Http.bytes(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
                out.flush();
                Thread.sleep(20);
            }
            out.write(Http.bytes("0\r\n\r\n"));
            return true;
        }

        /** Counts a request at the cold replica; it crashes once a second has more than the rule allows. */
        private synchronized boolean tooMany() {
            double now = rig.record.seconds();
            coldArrivals.add(now);
            return Rig.trouble() && coldArrivals.stream().filter(at -> now - at < 1).count() > COLD_PER_SECOND * OVERRUN + TOLERANCE;
        }

        private int judge() {
            Record record = rig.record;
            List<Double> arrivals = new ArrayList<>(coldArrivals);
            Collections.sort(arrivals);
            int most = 0;
            double at = 0;
            for (int first = 0, last = 0; last < arrivals.size(); last++) {
                while (arrivals.get(last) - arrivals.get(first) >= 1) {
                    first++;
                }
                if (last - first + 1 > most) {
                    most = last - first + 1;
                    at = arrivals.get(first);
                }
            }
            double allowed = COLD_PER_SECOND * OVERRUN + TOLERANCE;
            record.say("%d requests sent, %d served, %d cut off; %d reached the cold replica, at most %d in one second (from %.3f s), %.1f are allowed",
                    sent.get(), served.get(), cut.get(), arrivals.size(), most, at, allowed);
            if (served.get() < sent.get() / 2) {
                record.say("too little was served to judge");
                return 2;
            }
            record.say(most > allowed ? "BROKEN: FAILBACK" : "HELD");
            return most > allowed ? 1 : 0;
        }
    }
}
