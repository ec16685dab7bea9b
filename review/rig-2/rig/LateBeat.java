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

/** A write of a replica's entry gets no answer and is executed seconds later, after the replica has reported that it leaves. */
public final class LateBeat {
    private static final long DRAIN_MILLIS = 2_000;
    /** The store has been without disruption for contactMs when the replica reports that it leaves. */
    private static final long REPORT_AFTER_MILLIS = 3_050;
    /** The replica goes on to serve for drainMs after the report and a little longer. */
    private static final long EXIT_AFTER_MILLIS = 4_000;
    private static final int EVENTS = 30;
    private static final long EVENT_MILLIS = 90;
    private static final int TIMEOUT_MILLIS = 8_000;
    /** Lost writes are done one to six seconds later. */
    private static final long EXECUTED_AFTER_MILLIS = 5_100;

    private LateBeat() {}

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
        private volatile double drained = Double.MAX_VALUE;
        private final List<Double> late = Collections.synchronizedList(new ArrayList<>());
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
                    Config.route("help", "/help/", "streaming", TIMEOUT_MILLIS, 1000, "model", 1, false), Config.model("model", 64, 360)));
            rig.addReplicas("model", 3, 64, false, this::serve);
            if (!rig.startNodes(7)) {
                record.say("the processes are not ready");
                return 2;
            }
            Rig.sleep(6_000);
            record.say("traffic begins");
            double start = record.seconds();
            Thread traffic = Rig.daemon(() -> send(start, 24));
            traffic.start();
            Rig.sleep(10_000);
            Replica leaver = rig.replicas.get(0);
            if (Rig.trouble()) {
                record.say("the store loses the answer of a write of %s, and executes it %d ms later", leaver.id(),
                        EXECUTED_AFTER_MILLIS);
                leaver.loseNextBeat(EXECUTED_AFTER_MILLIS);
            }
            Rig.sleep(REPORT_AFTER_MILLIS);
            leaver.drain();
            drained = record.seconds();
            record.say("the store has acknowledged that %s is draining", leaver.id());
            Rig.sleep(EXIT_AFTER_MILLIS);
            leaver.exit();
            traffic.join(30_000);
            Rig.sleep(4_000);
            for (Node node : rig.nodes) {
                if (!node.process.isAlive()) {
                    record.say("process %s has ended", node.name);
                    return 2;
                }
            }
            record.say("%d requests sent, %d served, %d cut off; %d reached %s later than drainMs after the acknowledgement%s",
                    sent.get(), served.get(), cut.get(), late.size(), leaver.id(),
                    late.isEmpty() ? "" : ", the first at " + late.get(0) + " s");
            if (served.get() < sent.get() / 2) {
                record.say("too little was served to judge");
                return 2;
            }
            record.say(late.isEmpty() ? "HELD" : "BROKEN: DRAIN");
            return late.isEmpty() ? 0 : 1;
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
                    Map.of("Model", "m", "Token-Count", "1368,25", "Prompt-Prefix", prompt), new byte[4_700], TIMEOUT_MILLIS);
            rig.record.line("answered %s status=%d whole=%s leaving=%s %s", attempt, result.status(), result.whole(),
                    result.head() == null ? "" : result.head().get("server-leaving"), result.error());
            if (result.status() == 200 && result.whole()) {
                served.incrementAndGet();
            } else if (!result.whole() || result.status() == 502) {
                cut.incrementAndGet();
            }
        }

        private boolean serve(Replica replica, Http.Head head, byte[] body, Socket socket)
                throws IOException, InterruptedException {
            String attempt = head.get("attempt-id", "");
            double now = rig.record.seconds();
            boolean tooLate = replica == rig.replicas.get(0) && now > drained + DRAIN_MILLIS / 1_000.0;
            rig.record.line("arrives %s at %s%s", attempt, replica.id(), tooLate ? ", which is draining" : "");
            if (tooLate) {
                late.add(now);
            }
            Thread.sleep(80);
            OutputStream out = socket.getOutputStream();
            out.write(Http.bytes(replica.successHead(attempt)
                    + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
            for (int i = 1; i <= EVENTS; i++) {
                String event = "id: " + i + "\ndata: " + "x".repeat(40) + "\n\n";
                out.write(Http.bytes(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
                out.flush();
                Thread.sleep(EVENT_MILLIS);
            }
            out.write(Http.bytes("0\r\n\r\n"));
            return true;
        }
    }
}
