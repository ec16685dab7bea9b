package org.geraniumstand.proofs.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** Starts and controls one entry process as a separate operating system process. */
final class EntryHost implements AutoCloseable {
    private static final String OPERATOR_TOKEN = "operators-secret";
    private static final String JAVA =
            Path.of(System.getProperty("java.home"), "bin", "java").toString();

    private final Address address;
    private final Process process;
    private final Path log;

    /** Holds the name, the data centre and the ports of an entry process. */
    record Address(String name, String dataCentre, int callerPort, int operatorPort, int peerPort) {
        static Address of(String name, String dataCentre) {
            return new Address(name, dataCentre, Ports.free(), Ports.free(), Ports.free());
        }
    }

    /** Holds the settings that all entry processes of a cluster share. */
    record ClusterSettings(Path directory, int storePort, int cloudPort, List<Integer> seeds, String peerKey) {}

    private EntryHost(Address address, Process process, Path log) {
        this.address = address;
        this.process = process;
        this.log = log;
    }

    static EntryHost start(Address address, ClusterSettings shared) {
        try {
            Path settings = shared.directory().resolve(address.name() + ".yaml");
            Files.writeString(settings, yaml(address, shared));
            Path log = shared.directory().resolve(address.name() + ".log");
            Process process = new ProcessBuilder(
                            JAVA,
                            "-Xmx128m",
                            "-Xss512k",
                            "-XX:+UseSerialGC",
                            "-XX:TieredStopAtLevel=1",
                            "-Dorg.jboss.logging.provider=jdk",
                            "-cp",
                            System.getProperty("java.class.path"),
                            "org.geraniumstand.entry.Geraniumstand",
                            "--settings",
                            settings.toString())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start();
            return new EntryHost(address, process, log);
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
        return process.isAlive() && Http.get(address.operatorPort(), "/readyz").status() == 200;
    }

    boolean alive() {
        return process.isAlive();
    }

    void kill() {
        process.destroyForcibly();
        awaitExit();
    }

    void freeze() {
        signal("STOP");
    }

    void resume() {
        signal("CONT");
    }

    /** Sends SIGTERM to the process, as the platform does before it replaces a host. */
    void terminate() {
        process.destroy();
    }

    int awaitExit() {
        try {
            if (!process.waitFor(Conditions.LIMIT_MILLIS * 3, TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException(address.name() + " did not exit within 90 s");
            }
            return process.exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    /** Returns the resident memory of the process, in kilobytes, or 0 if it is not reported. */
    long residentKilobytes() {
        try {
            return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                    .filter(line -> line.startsWith("VmRSS:"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                    .findFirst()
                    .orElse(0);
        } catch (IOException e) {
            throw Ports.failed(e);
        }
    }

    String log() {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            throw Ports.failed(e);
        }
    }

    @Override
    public void close() {
        if (process.isAlive()) {
            kill();
        }
    }

    private void signal(String name) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw Ports.failed(e);
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
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
