package org.geraniumstand.proofs.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.stream.Collectors;

/** Starts and controls one process of the relay, with the settings template and the options of the deployment. */
final class RelayHost extends JavaProcess {
    private static final Path DEPLOYMENT = Path.of("..", "deploy");
    private static final String SEEDS = "[{{#seedNodes}}\"{{.}}\"{{,}}{{/seedNodes}}]";
    private static final int MAX_SEEDS = 3;

    /** The bounds of the settings that the proofs rely on. */
    static final int CONTACT_MILLIS = 3_000;

    static final double RETRY_RATIO = 0.2;
    static final int RETRY_SLACK = 54;
    static final int RETRY_WINDOW_SECONDS = 10;

    private static final Map<String, String> BOUNDS = Map.ofEntries(
            Map.entry("graceS", "8"),
            Map.entry("retryBudgetRatio", Double.toString(RETRY_RATIO)),
            Map.entry("retrySlack", Integer.toString(RETRY_SLACK)),
            Map.entry("budgetWindowS", Integer.toString(RETRY_WINDOW_SECONDS)),
            Map.entry("quotaSlack", "110000"),
            Map.entry("quotaOverrun", "0.1"),
            Map.entry("drainMs", "2000"),
            Map.entry("contactMs", Integer.toString(CONTACT_MILLIS)),
            Map.entry("leaseMs", "3000"),
            Map.entry("usageWindowS", "5"),
            Map.entry("usageLateS", "10"));

    private final Address address;

    /** Holds the name, the data centre and the ports of a process. */
    record Address(String name, String dataCentre, int callerPort, int readinessPort, int peerPort, int metricsPort) {
        static Address of(String name, String dataCentre) {
            return new Address(name, dataCentre, Ports.free(), Ports.free(), Ports.free(), Ports.free());
        }
    }

    private RelayHost(Address address, Path log, Path settings, List<String> options) {
        super(address.name(), log, options, List.of("org.geraniumstand.entry.RelayMain", settings.toString()));
        this.address = address;
    }

    static RelayHost start(
            Address address, Path directory, int storePort, List<Address> seeds, OptionalInt heapMegabytes) {
        try {
            Path settings = directory.resolve(address.name() + ".yaml");
            Files.writeString(settings, settings(address, storePort, seeds));
            return new RelayHost(address, directory.resolve(address.name() + ".log"), settings, options(heapMegabytes));
        } catch (IOException e) {
            throw Ports.failed(e);
        }
    }

    Address address() {
        return address;
    }

    boolean ready() {
        return alive() && Http.get(address.readinessPort(), "/v1/readyz").status() == 200;
    }

    /** Returns the options of the deployed command, without the archive of classes, which fits its class path only. */
    private static List<String> options(OptionalInt heapMegabytes) {
        try {
            String command = Files.readAllLines(DEPLOYMENT.resolve("system.toml")).stream()
                    .filter(line -> line.startsWith("run = \"java "))
                    .findFirst()
                    .orElseThrow();
            String options = command.substring("run = \"java ".length(), command.indexOf(" -cp "));
            return Arrays.stream(options.split(" ", -1))
                    .filter(option -> !option.startsWith("-XX:SharedArchiveFile="))
                    .map(option -> heapMegabytes.isPresent() && option.startsWith("-Xmx")
                            ? "-Xmx" + heapMegabytes.getAsInt() + "m"
                            : option)
                    .toList();
        } catch (IOException e) {
            throw Ports.failed(e);
        }
    }

    private static String settings(Address address, int storePort, List<Address> seeds) throws IOException {
        String seedList = seeds.stream()
                .limit(MAX_SEEDS)
                .map(seed -> "\"127.0.0.1:" + seed.peerPort() + "\"")
                .collect(Collectors.joining(", ", "[", "]"));
        String settings = Files.readString(DEPLOYMENT.resolve("settings.yaml"))
                .replace("{{nodeName}}", address.name())
                .replace("{{zone}}", address.dataCentre())
                .replace("{{listen.frontend}}", "127.0.0.1:" + address.callerPort())
                .replace("{{listen.readiness}}", "127.0.0.1:" + address.readinessPort())
                .replace("{{listen.controlPlane}}", "127.0.0.1:" + address.peerPort())
                .replace("{{ip}}:9464", "127.0.0.1:" + address.metricsPort())
                .replace(SEEDS, seedList)
                .replace("{{platform.address}}", "127.0.0.1:" + storePort)
                .replace("{{cloudApi.address}}", "127.0.0.1:" + storePort);
        for (Map.Entry<String, String> bound : BOUNDS.entrySet()) {
            settings = settings.replace("{{bounds." + bound.getKey() + "}}", bound.getValue());
        }
        if (settings.contains("{{")) {
            throw new IllegalStateException("the settings template has an unknown placeholder:\n" + settings);
        }
        return settings;
    }
}
