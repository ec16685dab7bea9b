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

/**
 * One part of a prompt crashes each replica that begins to write an answer on it. Arguments: folder, processes, replicas, whether
 * replicas start again under their id, whether the head of the answer
 * arrives before the crash, sound requests a second, requests with the part a second, seconds.
 */
public final class CrashPart {
    private static final String BAD = "bad0bad0";
    private static final double CONTACT_SECONDS = 3;
    private static final int ALLOWED = 3;
    private static final long DOWN_MILLIS = 2_500;

    private CrashPart() {}

    public static void main(String[] arguments) {
        int code = 2;
        try {
            int processes = Integer.parseInt(arguments[1]);
            int replicas = Integer.parseInt(arguments[2]);
            boolean keepsId = Boolean.parseBoolean(arguments[3]);
            boolean headArrives = Boolean.parseBoolean(arguments[4]);
            double soundPerSecond = Double.parseDouble(arguments[5]);
            double badPerSecond = Double.parseDouble(arguments[6]);
            double seconds = Double.parseDouble(arguments[7]);
            try (Rig rig = new Rig(Path.of(arguments[0]))) {
                code = new Run(rig, seconds, headArrives).play(processes, replicas, keepsId, soundPerSecond, badPerSecond);
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static final class Run {
        private final Rig rig;
        private final double length;
        private final boolean headArrives;
        private final List<Double> badArrivals = Collections.synchronizedList(new ArrayList<>());
        private final List<Double> crashes = Collections.synchronizedList(new ArrayList<>());
        private final AtomicInteger soundSent = new AtomicInteger();
        private final AtomicInteger soundServed = new AtomicInteger();
        private final AtomicInteger badSent = new AtomicInteger();
        private final AtomicInteger badRefused = new AtomicInteger();

        Run(Rig rig, double length, boolean headArrives) {
            this.rig = rig;
            this.headArrives = headArrives;
            this.length = length;
        }

        int play(int processes, int replicas, boolean keepsId, double soundPerSecond, double badPerSecond) throws Exception {
            Record record = rig.record;
            rig.store.put("op/config", Config.all(1,
                    Config.route("draft", "/draft/", "streaming", 5000, 600, "model", 1, false), Config.model("model", 16, 360)));
            rig.addReplicas("model", replicas, 16, keepsId, this::serve);
            if (!rig.startNodes(processes)) {
                record.say("the processes are not ready");
                return 2;
            }
            Rig.sleep(6_000);
            double start = record.seconds();
            record.say("traffic begins");
            Thread sound = Rig.daemon(() -> send(start, soundPerSecond, false));
            sound.start();
            Rig.sleep(4_000);
            Thread bad = Rig.daemon(() -> send(start + 4, badPerSecond, true));
            bad.start();
            Rig.sleep((long) ((length - 4) * 1_000));
            sound.join(6_000);
            bad.join(6_000);
            Rig.sleep(500);
            return judge();
        }

        private void send(double from, double perSecond, boolean bad) {
            double end = from + length - (bad ? 4 : 0);
            for (int i = 0; ; i++) {
                double at = from + i / perSecond;
                if (at > end - 0.5) {
                    return;
                }
                Rig.sleep(Math.max(0, (long) ((at - rig.record.seconds()) * 1_000)));
                Rig.daemon(() -> sendOne(bad)).start();
            }
        }

        private void sendOne(boolean bad) {
            ThreadLocalRandom random = ThreadLocalRandom.current();
            Node node = rig.nodes.get(random.nextInt(rig.nodes.size()));
            String attempt = Rig.attemptId();
            // The requests share the caller and the first part; the middle one is one of eight sound ones, or crashes.
            String middle = bad ? BAD : "50" + String.format("%06x", random.nextInt(8));
            String prompt = "5c1e07a2:800," + middle + ":410," + String.format("%08x", random.nextInt()) + ":250";
            (bad ? badSent : soundSent).incrementAndGet();
            rig.record.line("sent %s to %s prompt=%s", attempt, node.name, prompt);
            Client.Result result = Client.send(node, "POST", "/draft/1", attempt,
                    Map.of("Model", "m", "Token-Count", "1460,80", "Prompt-Prefix", prompt), new byte[600], 5_000);
            rig.record.line("answered %s status=%d whole=%s %s", attempt, result.status(), result.whole(), result.error());
            if (!bad && result.status() == 200 && result.whole()) {
                soundServed.incrementAndGet();
            }
            if (bad && result.status() == 503) {
                badRefused.incrementAndGet();
            }
        }

        private boolean serve(Replica replica, Http.Head head, byte[] body, Socket socket)
                throws IOException, InterruptedException {
            String attempt = head.get("attempt-id", "");
            boolean bad = head.get("prompt-prefix", "").contains(BAD);
            rig.record.line("arrives %s at %s%s", attempt, replica.id(), bad ? " with the part" : "");
            if (bad) {
                badArrivals.add(rig.record.seconds());
            }
            Thread.sleep(60);
            OutputStream out = socket.getOutputStream();
            if (bad && Rig.trouble() && !headArrives) {
                crashes.add(rig.record.seconds());
                replica.crash(DOWN_MILLIS, "the part of " + attempt);
                return false;
            }
            out.write(Http.bytes(replica.successHead(attempt)
                    + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
            if (bad && Rig.trouble()) {
                String part = "id: 1\ndata: ";
                out.write(Http.bytes(Integer.toHexString(part.length()) + "\r\n" + part + "\r\n"));
                out.flush();
                Thread.sleep(5);
                crashes.add(rig.record.seconds());
                replica.crash(DOWN_MILLIS, "the part of " + attempt);
                return false;
            }
            for (int i = 1; i <= 5; i++) {
                String event = "id: " + i + "\ndata: " + "x".repeat(40) + "\n\n";
                out.write(Http.bytes(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
                out.flush();
                Thread.sleep(20);
            }
            out.write(Http.bytes("0\r\n\r\n"));
            return true;
        }

        private int judge() {
            Record record = rig.record;
            for (Node node : rig.nodes) {
                if (!node.process.isAlive()) {
                    record.say("process %s has ended", node.name);
                    return 2;
                }
            }
            List<Double> distinct = new ArrayList<>(crashes);
            Collections.sort(distinct);
            record.say("sound requests: %d sent, %d served; with the part: %d sent, %d reached a replica, %d refused with 503; %d crashes",
                    soundSent.get(), soundServed.get(), badSent.get(), badArrivals.size(), badRefused.get(), distinct.size());
            if (soundServed.get() < 20) {
                record.say("too little was served to judge");
                return 2;
            }
            if (distinct.size() < 5) {
                record.say("HELD: fewer than five crashes");
                return 0;
            }
            double from = distinct.get(4) + CONTACT_SECONDS;
            long late = badArrivals.stream().filter(at -> at > from).count();
            record.say("fifth crash at %.3f s; later than contactMs after it %d requests with the part reached replicas, %d are allowed",
                    distinct.get(4), late, ALLOWED);
            record.say(late > ALLOWED ? "BROKEN: BUDGET" : "HELD");
            return late > ALLOWED ? 1 : 0;
        }
    }
}
