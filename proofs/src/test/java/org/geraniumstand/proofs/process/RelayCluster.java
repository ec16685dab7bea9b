package org.geraniumstand.proofs.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.geraniumstand.support.io.Closer;

/** Starts processes of the relay, scripted backend servers and the platform's store on loopback. */
final class RelayCluster implements AutoCloseable {
    /** The host name of all routes. */
    static final String HOST = "shop.example";

    private static final List<String> DATA_CENTRES = List.of("dc-a", "dc-b", "dc-c");
    private static final int CONCURRENT_STARTS = 3;

    private final Closer closer = new Closer();
    private final OptionalInt heapMegabytes;
    private final Path directory;
    private final RelayStore store = closer.add(new RelayStore());
    private final List<ScriptedServer> servers = new ArrayList<>();
    private final List<String> dataCentres;
    private final List<RelayHost.Address> addresses;
    private final RelayHost[] hosts;

    RelayCluster(int processes) {
        this(processes, OptionalInt.empty());
    }

    /** Creates processes whose heap is smaller than in the deployment. */
    RelayCluster(int processes, int heapMegabytes) {
        this(processes, OptionalInt.of(heapMegabytes));
    }

    private RelayCluster(int processes, OptionalInt heapMegabytes) {
        this.heapMegabytes = heapMegabytes;
        try {
            Path parent = Files.createDirectories(Path.of("target", "process-proofs"));
            directory = Files.createTempDirectory(parent, "relay-");
        } catch (IOException e) {
            throw Ports.failed(e);
        }
        dataCentres = DATA_CENTRES.subList(0, Math.min(processes, DATA_CENTRES.size()));
        addresses = IntStream.range(0, processes)
                .mapToObj(i -> RelayHost.Address.of("edge-" + i, dataCentres.get(i % dataCentres.size())))
                .toList();
        hosts = new RelayHost[processes];
    }

    /** Writes the configuration, as the operator does. */
    void configure(String configuration) {
        store.put("op/config", configuration);
    }

    /** Returns the store, which is also the cloud API. */
    RelayStore store() {
        return store;
    }

    /** Starts a backend server, in the data centres of the processes in turn. */
    ScriptedServer addServer(String service, int slots, ScriptedServer.Script script) {
        int number = servers.size();
        ScriptedServer server = closer.add(new ScriptedServer(
                store, service + '-' + number, service, dataCentres.get(number % dataCentres.size()), slots, script));
        servers.add(server);
        return server;
    }

    /** Starts all processes, a few at a time, and waits until they are ready. */
    void startProcesses() {
        for (int first = 0; first < hosts.length; first += CONCURRENT_STARTS) {
            int end = Math.min(hosts.length, first + CONCURRENT_STARTS);
            IntStream.range(first, end).forEach(this::startProcess);
            IntStream.range(first, end).forEach(this::awaitReady);
        }
    }

    /** Starts a process, or starts one again that has ended. */
    void startProcess(int process) {
        hosts[process] = RelayHost.start(addresses.get(process), directory, store.port(), addresses, heapMegabytes);
    }

    void awaitReady(int process) {
        Conditions.await(hosts[process].address().name() + " is ready", hosts[process]::ready);
    }

    RelayHost process(int process) {
        return hosts[process];
    }

    RelayCaller caller(int process) {
        return new RelayCaller(addresses.get(process).callerPort());
    }

    /** Returns a caller of a process that says what this kind says about its connection. */
    VersionedCaller caller(int process, VersionedCaller.Kind kind, int receiveBufferBytes) {
        return new VersionedCaller(kind, addresses.get(process).callerPort(), receiveBufferBytes);
    }

    /** Returns the number of connections that the processes have opened to all servers. */
    int connections() {
        return servers.stream().mapToInt(ScriptedServer::connections).sum();
    }

    @Override
    public void close() {
        for (RelayHost host : hosts) {
            if (host != null) {
                host.close();
            }
        }
        closer.close();
    }
}
