package org.geraniumstand.proofs.process;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.standins.BalancerStandin;
import org.geraniumstand.standins.StoreStandin;
import org.geraniumstand.standins.TcpRelay;
import org.geraniumstand.standins.load.Caller;
import org.geraniumstand.support.io.Closer;
import org.geraniumstand.support.json.Json;

/** Starts entry processes, backend servers and platform stand-ins on loopback, and stops all of them on close. */
final class Cluster implements AutoCloseable {
    private static final String CONFIGURATION = "geraniumstand/configuration";
    private static final long CHECK_MILLIS = 200;
    private static final int HEAP_MEGABYTES = 128;
    private static final long CALL_TIMEOUT_MILLIS = 20_000;

    // Strong references: the level of a logger is lost when the logger is garbage-collected.
    private static final List<Logger> LIBRARY_LOGGERS = Stream.of("io.undertow", "org.xnio", "org.jboss")
            .map(Logger::getLogger)
            .toList();

    private final Closer closer = new Closer();
    private final int heapMegabytes;
    private final Path directory;
    private final StoreStandin store = closer.add(StoreStandin.start(0));
    private final TcpRelay storeRelay = closer.add(TcpRelay.startForwardingTo(store.port()));
    private final Backends backends = closer.add(new Backends());
    private final List<EntryHost.Address> addresses;
    private final List<EntryHost> hosts = new ArrayList<>();
    private final BalancerStandin balancer;
    private int replacements;

    private Cluster(int entryHosts, int heapMegabytes) {
        this.heapMegabytes = heapMegabytes;
        LIBRARY_LOGGERS.forEach(library -> library.setLevel(Level.SEVERE));
        this.directory = newDirectory();
        this.addresses = IntStream.range(0, entryHosts)
                .mapToObj(i -> EntryHost.Address.of(
                        "entry-" + (i + 1),
                        TestConfigurations.DATA_CENTRES.get(i % TestConfigurations.DATA_CENTRES.size())))
                .toList();
        this.balancer = closer.add(BalancerStandin.start(0, this::targets, CHECK_MILLIS));
    }

    /** Starts a cluster with two engines and one order desk per data centre, and waits until it is ready. */
    static Cluster start(int entryHosts) {
        return start(entryHosts, 5);
    }

    static Cluster start(int entryHosts, int tokenMillis) {
        return start(entryHosts, tokenMillis, HEAP_MEGABYTES);
    }

    static Cluster start(int entryHosts, int tokenMillis, int heapMegabytes) {
        Cluster cluster = new Cluster(entryHosts, heapMegabytes);
        for (String dataCentre : TestConfigurations.DATA_CENTRES) {
            cluster.backends.addEngine(dataCentre, TestConfigurations.OLD_VERSION, tokenMillis);
            cluster.backends.addEngine(dataCentre, TestConfigurations.OLD_VERSION, tokenMillis);
            cluster.backends.addOrderDesk(dataCentre);
        }
        cluster.configure(TestConfigurations.initial());
        cluster.addresses.forEach(address -> cluster.hosts.add(EntryHost.start(address, cluster.shared())));
        try {
            cluster.awaitReady();
        } catch (IllegalStateException e) {
            cluster.close();
            throw e;
        }
        return cluster;
    }

    /** Starts a cluster of one entry host that has another cluster's hosts as seeds, but not their shared key. */
    static Cluster startWithOtherKey(Cluster otherCluster) {
        Cluster cluster = new Cluster(1, HEAP_MEGABYTES);
        cluster.configure(TestConfigurations.initial());
        List<Integer> seeds =
                otherCluster.addresses.stream().map(EntryHost.Address::peerPort).toList();
        EntryHost.ClusterSettings shared = new EntryHost.ClusterSettings(
                cluster.directory,
                cluster.storeRelay.port(),
                cluster.backends.cloud().port(),
                seeds,
                "a-key-that-is-not-the-other-cluster's-key",
                HEAP_MEGABYTES);
        cluster.hosts.add(EntryHost.start(cluster.addresses.get(0), shared));
        return cluster;
    }

    StoreStandin store() {
        return store;
    }

    TcpRelay storeRelay() {
        return storeRelay;
    }

    Backends backends() {
        return backends;
    }

    BalancerStandin balancer() {
        return balancer;
    }

    List<EntryHost> hosts() {
        synchronized (hosts) {
            return List.copyOf(hosts);
        }
    }

    /** Writes a configuration straight into the store, without a check for concurrent operators. */
    void configure(Configuration configuration) {
        store.put(CONFIGURATION, Json.write(configuration));
    }

    /** Returns the configuration in the store. */
    Configuration configuration() {
        return Json.read(store.value(CONFIGURATION).orElseThrow(), Configuration.class)
                .value()
                .orElseThrow();
    }

    /** Creates a caller that sends its requests through the load balancer. */
    Caller caller() {
        return caller(balancer.port());
    }

    /** Creates a caller that sends its requests to one entry host. */
    Caller caller(EntryHost host) {
        return caller(host.address().callerPort());
    }

    private static Caller caller(int port) {
        return new Caller(
                URI.create("http://127.0.0.1:" + port), TestConfigurations.COUNTER_TOKEN, CALL_TIMEOUT_MILLIS);
    }

    /** Starts a new process that replaces one that has ended. */
    EntryHost replace(EntryHost ended) {
        replacements++;
        EntryHost.Address address = EntryHost.Address.of(
                ended.address().name() + "-r" + replacements, ended.address().dataCentre());
        EntryHost host = EntryHost.start(address, shared());
        synchronized (hosts) {
            hosts.set(hosts.indexOf(ended), host);
        }
        return host;
    }

    void awaitReady() {
        for (EntryHost host : hosts()) {
            Conditions.await(host.address().name() + " is ready\n" + host.log(), host::ready);
        }
        Conditions.await(
                "the balancer forwards requests",
                () -> Http.get(balancer.port(), "/none").status() > 0);
    }

    /** Returns the last 40 lines of each log, for the message of a failed assertion. */
    String logs() {
        StringBuilder text = new StringBuilder();
        for (EntryHost host : hosts()) {
            List<String> lines = host.log().lines().toList();
            text.append("---- ").append(host.address().name()).append('\n');
            lines.subList(Math.max(0, lines.size() - 40), lines.size())
                    .forEach(line -> text.append(line).append('\n'));
        }
        return text.toString();
    }

    @Override
    public void close() {
        hosts().forEach(EntryHost::close);
        closer.close();
    }

    private List<BalancerStandin.Target> targets() {
        return hosts().stream()
                .map(EntryHost::address)
                .map(a -> new BalancerStandin.Target(a.callerPort(), a.operatorPort()))
                .toList();
    }

    private EntryHost.ClusterSettings shared() {
        List<Integer> seeds =
                addresses.stream().map(EntryHost.Address::peerPort).toList();
        return new EntryHost.ClusterSettings(
                directory,
                storeRelay.port(),
                backends.cloud().port(),
                seeds,
                "a-key-that-all-entry-processes-share",
                heapMegabytes);
    }

    private static Path newDirectory() {
        try {
            Path parent = Files.createDirectories(Path.of("target", "process-proofs"));
            return Files.createTempDirectory(parent, "cluster-");
        } catch (IOException e) {
            throw Ports.failed(e);
        }
    }
}
