package org.geraniumstand.proofs.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

/** Starts and controls one entry process as a separate operating system process. */
final class EntryHost extends JavaProcess {
    private static final String OPERATOR_TOKEN = "operators-secret";

    private final Address address;

    /** Holds the name, the data centre and the ports of an entry process. */
    record Address(String name, String dataCentre, int callerPort, int operatorPort, int peerPort) {
        static Address of(String name, String dataCentre) {
            return new Address(name, dataCentre, Ports.free(), Ports.free(), Ports.free());
        }
    }

    /** Holds the settings that all entry processes of a cluster share. */
    record ClusterSettings(
            Path directory, int storePort, int cloudPort, List<Integer> seeds, String peerKey, int heapMegabytes) {}

    private EntryHost(Address address, Path log, Path settings, int heapMegabytes) {
        super(
                address.name(),
                log,
                List.of(
                        "-Xmx" + heapMegabytes + "m",
                        "-Xss512k",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Dorg.jboss.logging.provider=jdk"),
                List.of("org.geraniumstand.entry.Geraniumstand", "--settings", settings.toString()));
        this.address = address;
    }

    static EntryHost start(Address address, ClusterSettings shared) {
        try {
            Path settings = shared.directory().resolve(address.name() + ".yaml");
            Files.writeString(settings, yaml(address, shared));
            return new EntryHost(
                    address, shared.directory().resolve(address.name() + ".log"), settings, shared.heapMegabytes());
        } catch (IOException e) {
            throw Ports.failed(e);
        }
    }

    Address address() {
        return address;
    }

    static String operatorToken() {
        return OPERATOR_TOKEN;
    }

    boolean ready() {
        return alive() && Http.get(address.operatorPort(), "/readyz").status() == 200;
    }

    private static String yaml(Address address, ClusterSettings shared) {
        String seeds = shared.seeds().stream()
                .filter(port -> port != address.peerPort())
                .map(port -> "\"127.0.0.1:" + port + "\"")
                .collect(Collectors.joining(", "));
        return String.join(
                "\n",
                "process:",
                "  name: " + address.name(),
                "  dataCentre: " + address.dataCentre(),
                "callers:",
                "  host: 127.0.0.1",
                "  port: " + address.callerPort(),
                "  ioThreads: 2",
                "operators:",
                "  host: 127.0.0.1",
                "  port: " + address.operatorPort(),
                "  token: " + OPERATOR_TOKEN,
                "peers:",
                "  host: 127.0.0.1",
                "  port: " + address.peerPort(),
                "  sharedKey: " + shared.peerKey(),
                "  seeds: [" + seeds + "]",
                "store:",
                "  url: http://127.0.0.1:" + shared.storePort(),
                "  prefix: geraniumstand",
                "cloud:",
                "  url: http://127.0.0.1:" + shared.cloudPort(),
                "");
    }
}
