package org.geraniumstand.proofs.bench;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.entry.relay.RehearsalServer;
import org.geraniumstand.platform.RehearsalPlatform;

/**
 * Measures the CPU time of one process that relays calls: until it is ready, until the tenth answer, and for the
 * answers after that. Run manually from the root of the repository after {@code bin/package}:
 *
 * <pre>java -cp proofs/target/test-classes:... org.geraniumstand.proofs.bench.StartBench RUNS CALLS java OPTIONS...</pre>
 *
 * <p>The command is the one in {@code deploy/system.toml}, with {@code SETTINGS} in place of the path of the settings.
 * The rehearsal platform answers the process's calls.
 */
public final class StartBench {
    private static final int FIRST_CALLS = 10;
    private static final long READY_TIMEOUT_MILLIS = 20_000;

    /** Time limit for a process to stop, in milliseconds; it accepts requests for about 3,000 ms of this time. */
    private static final long STOP_TIMEOUT_MILLIS = 8_000;

    /** Milliseconds between two calls; a host of the largest deployments receives about five calls per second. */
    private static final long CALL_INTERVAL_MILLIS = 20;

    /** Milliseconds per kernel clock tick of CPU time; the CPU time fields are counted after the process name. */
    private static final int KERNEL_TICK_MILLIS = 10;

    private static final int USER_FIELD = 11;
    private static final int SYSTEM_FIELD = 12;

    private static final String SETTINGS = String.join(
            "\n",
            "process: {name: bench, dataCentre: z}",
            "listen: {callers: \"$0\", readiness: \"$1\", peers: \"$2\", metrics: \"$3\"}",
            "peers: {sharedKey: bench-of-one-process, seeds: [\"$2\"]}",
            "store: {url: \"http://$platform\"}",
            "cloud: {url: \"http://$platform\"}",
            "bounds: {stopSeconds: 1, repeatRatio: 0.2, repeatSlack: 50, repeatWindowSeconds: 10, quotaSlack: 100000,",
            "  quotaOverrun: 0.1, drainMillis: 2000, contactMillis: 3000, leaseMillis: 3000, usageWindowSeconds: 5, usageLateSeconds: 10}",
            "");

    private static final int ADDRESSES = 4;

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();
    private int attempts;

    private StartBench() {}

    /**
     * Runs the benchmark.
     *
     * @param args number of runs, number of calls after the first ten, and the command of the process
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        int runs = Integer.parseInt(args[0]);
        int calls = Integer.parseInt(args[1]);
        List<String> command = Arrays.asList(args).subList(2, args.length);
        InetSocketAddress platform = RehearsalServer.freeAddress();
        List<long[]> times = new ArrayList<>();
        try (RehearsalServer _server = RehearsalServer.start(platform)) {
            for (int i = 0; i < runs; i++) {
                times.add(new StartBench().run(platform, command, calls));
            }
        }
        String[] names = {"ready", "tenth answer", calls + " more answers", "resident at the end, in MB"};
        for (int i = 0; i < names.length; i++) {
            List<Long> values = new ArrayList<>();
            for (long[] run : times) {
                values.add(run[i]);
            }
            Collections.sort(values);
            System.out.println(names[i] + ": median " + values.get(values.size() / 2) + " of " + values);
        }
    }

    private long[] run(InetSocketAddress platform, List<String> command, int calls)
            throws IOException, InterruptedException {
        InetSocketAddress callers = RehearsalServer.freeAddress();
        InetSocketAddress readiness = RehearsalServer.freeAddress();
        Path settings = Files.createTempFile("start-bench", ".yaml");
        Files.writeString(
                settings,
                SETTINGS.replace("$platform", text(platform))
                        .replace("$0", text(callers))
                        .replace("$1", text(readiness))
                        .replace("$2", text(RehearsalServer.freeAddress()))
                        .replace("$" + (ADDRESSES - 1), text(RehearsalServer.freeAddress())),
                StandardCharsets.UTF_8);
        List<String> arguments = command.stream()
                .map(word -> word.replace("SETTINGS", settings.toString()))
                .toList();
        Process process = new ProcessBuilder(arguments)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        try {
            awaitReady(readiness);
            long ready = cpuMillis(process);
            call(callers, FIRST_CALLS);
            long tenthAnswer = cpuMillis(process);
            call(callers, calls);
            long moreAnswers = cpuMillis(process);
            return new long[] {ready, tenthAnswer - ready, moreAnswers - tenthAnswer, residentMegabytes(process)};
        } finally {
            process.destroy();
            if (!process.waitFor(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                process.destroyForcibly().waitFor();
            }
            Files.delete(settings);
        }
    }

    private void awaitReady(InetSocketAddress address) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MILLIS);
        while (System.nanoTime() < end) {
            try {
                if (send(address, "/", "GET") == 200) {
                    return;
                }
            } catch (IOException _e) {
                // The process does not listen yet.
            }
            TimeUnit.MILLISECONDS.sleep(CALL_INTERVAL_MILLIS);
        }
        throw new IllegalStateException("the process was not ready within 20 s");
    }

    private void call(InetSocketAddress address, int count) throws IOException, InterruptedException {
        for (int i = 0; i < count; i++) {
            boolean stream = i % 2 == 0;
            int status = send(
                    address,
                    stream ? RehearsalPlatform.STREAM_PATH : RehearsalPlatform.PLAIN_PATH,
                    stream ? "POST" : "GET");
            if (status != 200) {
                throw new IllegalStateException("unexpected status of a call: " + status);
            }
            TimeUnit.MILLISECONDS.sleep(CALL_INTERVAL_MILLIS);
        }
    }

    private int send(InetSocketAddress address, String path, String method) throws IOException, InterruptedException {
        attempts++;
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + text(address) + path))
                .method(
                        method,
                        method.equals("POST")
                                ? HttpRequest.BodyPublishers.ofString("x".repeat(2_000))
                                : HttpRequest.BodyPublishers.noBody());
        RehearsalPlatform.callerHeaders("bench-" + attempts).forEach(h -> request.header(h.name(), h.value()));
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString())
                .statusCode();
    }

    private static long cpuMillis(Process process) throws IOException {
        String line = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
        String[] fields = line.substring(line.lastIndexOf(')') + 2).split(" ", -1);
        return KERNEL_TICK_MILLIS * (Long.parseLong(fields[USER_FIELD]) + Long.parseLong(fields[SYSTEM_FIELD]));
    }

    private static long residentMegabytes(Process process) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(line -> line.startsWith("VmHWM"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) / 1024)
                .findFirst()
                .orElse(0);
    }

    private static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
