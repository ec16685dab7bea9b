package org.geraniumstand.entry.capacity;

import java.net.URI;
import java.util.Optional;
import java.util.function.Supplier;
import org.geraniumstand.decisions.capacity.CapacityPlanner;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.outside.cloud.CloudApi;
import org.geraniumstand.outside.cloud.HttpCloudApi;
import org.geraniumstand.outside.cloud.HttpHostList;
import org.geraniumstand.outside.engine.EngineControl;
import org.geraniumstand.outside.engine.HttpEngineControl;
import org.geraniumstand.outside.store.ConfigurationStore;
import org.geraniumstand.support.net.AsyncHttpClient;

/** Schedules the capacity task. */
public final class Capacity {
    private static final long ROUND_INTERVAL_MILLIS = 5_000;
    private static final int MAX_LOADS_PER_MINUTE = 12;

    private Capacity() {}

    /**
     * Starts the task, which runs until the HTTP client is closed.
     *
     * @param self ID of this process
     * @param store platform's configuration store
     * @param prefix prefix of all keys
     * @param cloudUrl URL of the cloud API
     * @param calls HTTP client and scheduler; all steps run on its thread
     * @param configuration returns the configuration in force
     */
    public static void start(
            ProcessId self,
            ConfigurationStore store,
            String prefix,
            URI cloudUrl,
            AsyncHttpClient calls,
            Supplier<Optional<Configuration>> configuration) {
        FencedLease lease = new FencedLease(store, prefix + "/capacity/lease", self.value(), System::nanoTime);
        CloudApi cloud = new HttpCloudApi(calls, cloudUrl);
        EngineControl control = new HttpEngineControl(calls);
        CapacityTask task = new CapacityTask(
                configuration,
                lease,
                new OrderSender(lease, cloud, control),
                cloud,
                new HttpHostList(calls, cloudUrl),
                new EngineStatusPoller(control),
                new CapacityPlanner(MAX_LOADS_PER_MINUTE),
                () -> new Timestamp(System.nanoTime(), System.currentTimeMillis()));
        scheduleRounds(calls, task);
    }

    private static void scheduleRounds(AsyncHttpClient calls, CapacityTask task) {
        calls.schedule(
                () -> {
                    task.runRound();
                    scheduleRounds(calls, task);
                },
                ROUND_INTERVAL_MILLIS);
    }
}
