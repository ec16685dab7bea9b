package org.geraniumstand.proofs.bench;

import io.undertow.Undertow;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.Preset;
import org.geraniumstand.model.config.Priority;
import org.geraniumstand.model.config.Repeatability;
import org.geraniumstand.model.config.Route;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.ServiceKind;
import org.geraniumstand.model.config.Team;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.PresetId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.outside.cloud.HostList;
import org.geraniumstand.standins.CloudStandin;
import org.geraniumstand.standins.StoreStandin;
import org.geraniumstand.support.io.Closer;
import org.geraniumstand.support.json.Json;

/**
 * Measures plain requests sent directly to a backend server and through one entry process, in one run.
 *
 * <p>Prints one line per measure and exits. The load client and the backend server share the machine with the entry
 * process.
 */
public final class RequestPathBench {
    private static final String TOKEN = "bench";
    private static final ServiceId PAGES = new ServiceId("pages");
    private static final VersionId VERSION = new VersionId("v1");
    private static final int CONCURRENCY = 1_000;
    private static final int CONNECTIONS = 32;
    private static final int PACED_CONNECTIONS = 8;
    private static final long PACED_INTERVAL_NANOS = 8_000_000;
    private static final long WARM_MILLIS = 6_000;
    private static final long RUN_MILLIS = 6_000;
    private static final long READY_MILLIS = 20_000;

    private RequestPathBench() {}

    /**
     * Runs the benchmark.
     *
     * @param _args ignored
     */
    public static void main(String[] _args) throws IOException, InterruptedException, ExecutionException {
        int status = 1;
        try (Closer closer = new Closer()) {
            Undertow pages = Undertow.builder()
                    .addHttpListener(0, "127.0.0.1")
                    .setIoThreads(2)
                    .setWorkerThreads(1)
                    .setHandler(exchange -> exchange.getResponseSender().send("ok"))
                    .build();
            pages.start();
            closer.add(pages::stop);
            int directPort = ((InetSocketAddress) pages.getListenerInfo().get(0).getAddress()).getPort();
            StoreStandin store = closer.add(StoreStandin.start(0));
            CloudStandin cloud = closer.add(CloudStandin.start(0));
            store.put("geraniumstand/configuration", Json.write(configuration()));
            cloud.setListing(new HostList.Listing(List.of(server(directPort)), List.of()));
            int port = freePort();
            Process entry = start(port, store.port(), cloud.port());
            closer.add(entry::destroyForcibly);
            measure(directPort, port, entry);
            status = 0;
        } finally {
            // Non-daemon threads of the libraries would prevent the exit after a failed run.
            System.exit(status);
        }
    }

    private static void measure(int directPort, int port, Process entry)
            throws InterruptedException, ExecutionException {
        LoadClient directClient = new LoadClient(directPort, TOKEN);
        LoadClient entryClient = new LoadClient(port, TOKEN);
        awaitReady(entryClient);
        directClient.run(CONNECTIONS, WARM_MILLIS / 2, 0);
        entryClient.run(CONNECTIONS, WARM_MILLIS, 0);
        print("paced-direct", directClient.run(PACED_CONNECTIONS, RUN_MILLIS, PACED_INTERVAL_NANOS));
        print("paced-through-entry", entryClient.run(PACED_CONNECTIONS, RUN_MILLIS, PACED_INTERVAL_NANOS));
        print("closed-loop-direct", directClient.run(CONNECTIONS, RUN_MILLIS, 0));
        Duration before = cpu(entry);
        LoadClient.Measured closedLoop = entryClient.run(CONNECTIONS, RUN_MILLIS, 0);
        double cores = cpu(entry).minus(before).toNanos() / (double) closedLoop.elapsedNanos();
        print("closed-loop-through-entry", closedLoop);
        printLine("measure=entry-cores value=%.2f", cores);
        printLine("measure=requests-per-second-per-core value=%.0f", closedLoop.perSecond() / cores);
    }

    private static void print(String name, LoadClient.Measured measured) {
        printLine(
                "measure=%s requestsPerSecond=%.0f p50Micros=%.0f p99Micros=%.0f",
                name, measured.perSecond(), measured.micros(0.5), measured.micros(0.99));
    }

    @SuppressWarnings("SystemOut")
    private static void printLine(String format, Object... values) {
        System.out.println(String.format(Locale.ROOT, format, values));
    }

    private static void awaitReady(LoadClient client) throws InterruptedException {
        long end = System.currentTimeMillis() + READY_MILLIS;
        while (System.currentTimeMillis() < end) {
            try {
                client.run(1, 1, 0);
                return;
            } catch (ExecutionException _e) {
                Thread.sleep(100);
            }
        }
        throw new IllegalStateException("the entry process did not answer within 20 s");
    }

    private static Duration cpu(Process process) {
        return process.toHandle().info().totalCpuDuration().orElse(Duration.ZERO);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private static Process start(int port, int storePort, int cloudPort) throws IOException {
        Path directory = Files.createTempDirectory("bench");
        Path settings = directory.resolve("settings.yaml");
        Files.writeString(
                settings,
                String.join(
                        "\n",
                        "process: {name: bench, dataCentre: dc1}",
                        "callers: {host: 127.0.0.1, port: " + port + ", ioThreads: 2}",
                        "operators: {host: 127.0.0.1, port: " + freePort() + ", token: bench-operators-token}",
                        "peers: {host: 127.0.0.1, port: " + freePort()
                                + ", sharedKey: a-key-that-all-entry-processes-share, seeds: []}",
                        "store: {url: \"http://127.0.0.1:" + storePort + "\", prefix: geraniumstand}",
                        "cloud: {url: \"http://127.0.0.1:" + cloudPort + "\"}",
                        ""));
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx160m",
                        "-Dorg.jboss.logging.provider=jdk",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "org.geraniumstand.entry.Geraniumstand",
                        "--settings",
                        settings.toString())
                .redirectErrorStream(true)
                .redirectOutput(directory.resolve("log").toFile())
                .start();
    }

    private static Configuration configuration() {
        PresetId preset = new PresetId("day");
        return new Configuration(
                1,
                1,
                preset,
                List.of(new Preset(preset, 500, 60, 0, 0, 10)),
                List.of(new Service(PAGES, ServiceKind.PLAIN, VERSION, CONCURRENCY, CONCURRENCY, 5_000)),
                List.of(new Route(new RouteId("pages"), "/pages", PAGES, Repeatability.IDEMPOTENT, 1_000, "")),
                List.of(new Team(new TeamId("bench"), sha256(), 1, Priority.INTERACTIVE)),
                List.of(),
                Set.of(),
                List.of(),
                "");
    }

    private static BackendServer server(int port) {
        return new BackendServer(
                new ServerId("pages-1"),
                PAGES,
                VERSION,
                new DataCentreId("dc1"),
                new HostId("host-1"),
                "small",
                false,
                1,
                "127.0.0.1",
                port,
                false);
    }

    private static String sha256() {
        try {
            return HexFormat.of()
                    .formatHex(MessageDigest.getInstance("SHA-256").digest(TOKEN.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available in this Java runtime", e);
        }
    }
}
