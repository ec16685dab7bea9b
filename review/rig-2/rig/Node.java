package rig;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the system, started with the command of the deploy file. */
public final class Node {
    public final String name;
    public final String address;
    public final int port;
    public final int readiness;
    private final Path settings;
    private final Path log;
    private final Path root;
    private final Record record;
    public Process process;

    public Node(Path root, Path folder, String name, String zone, String address, int[] ports, String seeds, Store store,
            String storeAddress, Record record) throws IOException {
        this.root = root;
        this.name = name;
        this.address = address;
        this.port = ports[0];
        this.readiness = ports[1];
        this.record = record;
        this.settings = folder.resolve(name + ".yaml");
        this.log = folder.resolve(name + ".log");
        Files.writeString(settings, "process:\n  name: \"" + name + "\"\n  dataCentre: \"" + zone + "\"\nlisten:\n  callers: \""
                + address + ":" + ports[0] + "\"\n  readiness: \"" + address + ":" + ports[1] + "\"\n  peers: \"" + address
                + ":" + ports[2] + "\"\n  metrics: \"" + address + ":" + ports[3] + "\"\npeers:\n  sharedKey: "
                + "\"entry-processes-of-one-deployment\"\n  seeds: [" + seeds + "]\nstore:\n  url: \"http://" + storeAddress + ":"
                + store.port() + "\"\ncloud:\n  url: \"http://" + storeAddress + ":" + store.cloudPort() + "\"\nbounds:\n"
                + "  stopSeconds: 8\n  repeatRatio: 0.2\n  repeatSlack: 54\n  repeatWindowSeconds: 10\n  quotaSlack: 110000\n"
                + "  quotaOverrun: 0.1\n  drainMillis: 2000\n  contactMillis: 3000\n  leaseMillis: 3000\n"
                + "  usageWindowSeconds: 5\n  usageLateSeconds: 10\n");
    }

    public void start() throws IOException {
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) {
            throw new IOException("the deploy file has no command");
        }
        List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
        command.replaceAll(word -> word.equals("/etc/geraniumstand/node.toml") ? settings.toString() : word);
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.directory(root.toFile());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        record.line("process %s starts, id %d", name, process.pid());
    }

    public boolean ready() {
        try {
            HttpURLConnection call = (HttpURLConnection)
                    URI.create("http://" + address + ":" + readiness + "/v1/readyz").toURL().openConnection();
            call.setConnectTimeout(1_000);
            call.setReadTimeout(1_000);
            return call.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a signal, such as TERM, STOP or CONT, to the process. */
    public void signal(String signal) {
        try {
            record.line("process %s gets SIG%s", name, signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    public void end() {
        if (process != null && process.isAlive()) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    public String logText() throws IOException {
        return Files.exists(log) ? Files.readString(log) : "";
    }
}
