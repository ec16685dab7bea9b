package org.geraniumstand.proofs.bench;

import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.entry.settings.Settings;
import org.geraniumstand.entry.task.SharedStateTasks;
import org.geraniumstand.http.CoreInbox;
import org.geraniumstand.http.RequestMailbox;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.request.RequestInfo;
import org.geraniumstand.outside.store.HttpConfigurationStore;
import org.geraniumstand.support.net.AsyncHttpClient;

/** Runs the tasks that exchange shared entries in one process, without the request path. */
final class InProcessNode implements CoreInbox, AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final String PREFIX = "bench";

    private final AsyncHttpClient httpClient;
    private final SharedStateTasks tasks;
    private final Map<Long, Long> inForceNanos = new ConcurrentHashMap<>();

    private InProcessNode(String name, int storePort, List<String> seeds) {
        URI store = URI.create("http://" + LOOPBACK + ":" + storePort);
        Settings settings = new Settings(
                new Settings.ProcessSettings(name, new DataCentreId("dc-1")),
                new Settings.CallerSettings(LOOPBACK, 0, 1),
                new Settings.OperatorSettings(LOOPBACK, 0, "token"),
                new Settings.PeerSettings(LOOPBACK, 0, "key", seeds),
                new Settings.StoreSettings(store, PREFIX),
                new Settings.CloudSettings(store));
        this.httpClient = AsyncHttpClient.start("platform-" + name);
        this.tasks = SharedStateTasks.start(
                settings, new ProcessId(name), new HttpConfigurationStore(httpClient, store), httpClient, this);
    }

    static InProcessNode start(String name, int storePort, List<String> seeds) {
        return new InProcessNode(name, storePort, seeds);
    }

    static String configurationKey() {
        return PREFIX + "/configuration";
    }

    SharedStateTasks tasks() {
        return tasks;
    }

    String address() {
        return LOOPBACK + ":" + tasks.peers().self().peerPort();
    }

    Optional<Long> inForceNanos(long generation) {
        return Optional.ofNullable(inForceNanos.get(generation));
    }

    @Override
    public void observe(Observation observation) {
        if (observation instanceof Observation.ConfigurationAccepted accepted) {
            inForceNanos.put(accepted.configuration().generation(), System.nanoTime());
        }
    }

    @Override
    public void submit(RequestInfo _request, RequestMailbox _mailbox) {
        throw new UnsupportedOperationException("requests are not supported in this benchmark");
    }

    @Override
    public Optional<Configuration> configuration() {
        return Optional.empty();
    }

    @Override
    public void close() {
        tasks.close();
        httpClient.close();
    }
}
