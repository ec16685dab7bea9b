package org.geraniumstand.entry.relay;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import org.geraniumstand.decisions.membership.Incarnation;
import org.geraniumstand.decisions.relay.RelayBounds;
import org.geraniumstand.decisions.relay.RelayDispatcher;
import org.geraniumstand.decisions.relay.RequestCounter;
import org.geraniumstand.decisions.relay.StoreBounds;
import org.geraniumstand.entry.metrics.ProcessMetrics;
import org.geraniumstand.entry.metrics.RelayMetrics;
import org.geraniumstand.entry.settings.RelaySettings;
import org.geraniumstand.http.opaque.DispatcherTask;
import org.geraniumstand.http.opaque.OpaqueListener;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.relay.RelayConfiguration;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.platform.PlatformCloudApi;
import org.geraniumstand.platform.PlatformEntryReader;
import org.geraniumstand.platform.PlatformHeaderCodec;
import org.geraniumstand.platform.PlatformMoveStatusFormat;
import org.geraniumstand.platform.PlatformStore;
import org.geraniumstand.support.io.Closer;
import org.geraniumstand.support.log.Log;
import org.geraniumstand.support.net.AsyncHttpClient;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Creates and connects the tasks of a process that relays calls unchanged, and closes them at shutdown. */
public final class RelayProcess implements AutoCloseable {
    private static final Log LOG = Log.of(RelayProcess.class);
    private static final int BUFFER_BYTES = 8 * 1024;
    private static final double MILLIS_IN_SECOND = 1_000;

    /**
     * Number of processes assumed to share the server capacity until peers are known; the largest supported deployment
     * has 330.
     */
    private static final int ASSUMED_PROCESSES = 330;

    /**
     * Time for which the process accepts requests after the start of its shutdown, in milliseconds; the load balancer
     * checks readiness every 1,000 ms and removes the process after the second failed check.
     */
    private static final long DEREGISTRATION_MILLIS = 2_900;

    /** Time reserved at the end of a shutdown for the process to exit by itself, in milliseconds. */
    private static final long EXIT_RESERVE_MILLIS = 500;

    /** Time allowed for the last request counts to reach the store, in milliseconds; the store answers within a few. */
    private static final long FLUSH_MILLIS = 100;

    /** Delay after startup of the tasks that callers do not depend on, in milliseconds. */
    private static final long DEFERRED_START_MILLIS = 400;

    private static final long POLL_MILLIS = 20;

    private final Closer closer = new Closer();
    private final RelaySettings settings;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final AtomicBoolean configured = new AtomicBoolean();
    private final XnioWorker worker;
    private final ProcessMetrics metrics = new ProcessMetrics();
    private final DispatcherTask dispatcherTask;
    private final OpaqueListener listener;
    private final LongSupplier failedSteps;
    private final LeaderElection leaderElection;
    private final UsageTask usageTask;
    private final PeerTask peers;
    private final StoreRegistration registration;

    private RelayProcess(RelaySettings settings) {
        this.settings = settings;
        this.worker = worker();
        closer.add(worker::shutdownNow);
        ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
        RelaySettings.Bounds bounds = settings.bounds();
        ProcessId self = Incarnation.name(settings.name(), System.currentTimeMillis());
        Random random = new Random(self.hashCode());
        RelayDispatcher dispatcher = new RelayDispatcher(
                settings.dataCentre(),
                new RelayBounds(
                        bounds.repeatRatio(),
                        bounds.repeatSlack(),
                        Math.round(bounds.repeatWindowSeconds() * MILLIS_IN_SECOND),
                        bounds.quotaSlack(),
                        bounds.quotaOverrun(),
                        ASSUMED_PROCESSES),
                random,
                System.nanoTime());
        AsyncHttpClient calls = closer.add(AsyncHttpClient.onWorker(worker));
        PlatformStore store = new PlatformStore(calls, settings.store());
        PlatformCloudApi cloudApi = new PlatformCloudApi(calls, settings.cloud());
        this.leaderElection = new LeaderElection(store, calls::schedule, random, settings.name(), bounds.leaseMillis());
        this.usageTask = new UsageTask(
                store,
                cloudApi,
                leaderElection,
                calls::schedule,
                self,
                new RequestCounter(Math.round(bounds.usageWindowSeconds() * MILLIS_IN_SECOND)),
                Math.round(bounds.usageLateSeconds() * MILLIS_IN_SECOND),
                () -> new Timestamp(System.nanoTime(), System.currentTimeMillis()));
        this.dispatcherTask = new DispatcherTask(dispatcher, worker.getIoThread(0), usageTask::onRequestStarted);
        PlatformEntryReader entryReader = new PlatformEntryReader();
        AtomicReference<StoreEntryApplier> entryApplier = new AtomicReference<>();
        this.peers = closer.add(PeerTask.open(
                settings,
                self,
                dispatcher,
                calls::schedule,
                text -> entryApplier.get().onEntry(entryReader.readConfiguration(text))));
        MoveOrderReverter moveOrderReverter =
                new MoveOrderReverter(store, new PlatformMoveStatusFormat(), leaderElection, calls::schedule);
        entryApplier.set(new StoreEntryApplier(dispatcherTask, moveOrderReverter, this::onConfiguration));
        this.registration = new StoreRegistration(store, calls::schedule, peers);
        StoreWatcher storeWatcher = new StoreWatcher(
                store,
                entryReader,
                calls::schedule,
                System::nanoTime,
                new StoreBounds(bounds.drainMillis(), bounds.contactMillis()),
                entryApplier.get(),
                LeaderElection.KEY,
                leaderElection::onRecord);
        this.failedSteps = () -> dispatcherTask.failedSteps()
                + storeWatcher.failures()
                + entryApplier.get().failures()
                + peers.failures();
        peers.setStoreWatcher(storeWatcher);
        peers.setLeaderElection(leaderElection);
        peers.setUsageTask(usageTask);
        peers.start();
        // The listeners open while the first read from the store is pending.
        calls.schedule(storeWatcher::start, 0);
        this.listener = closer.add(OpaqueListener.start(new OpaqueListener.Setup(
                settings.callers(),
                settings.readiness(),
                worker,
                buffers,
                dispatcherTask,
                new PlatformHeaderCodec(),
                this::ready,
                new RelayMetrics(metrics))));
        calls.schedule(usageTask::start, 0);
        // The number of processes that share the quotas must be known before the first requests.
        calls.schedule(registration::readMembers, 0);
        QuarantineStore quarantineStore = new QuarantineStore(store, calls::schedule, System::currentTimeMillis);
        calls.schedule(() -> peers.setQuarantineStore(quarantineStore), 0);
        // Tasks that callers do not depend on start later.
        calls.schedule(registration::register, DEFERRED_START_MILLIS);
        calls.schedule(leaderElection::start, DEFERRED_START_MILLIS);
        calls.schedule(moveOrderReverter::start, DEFERRED_START_MILLIS);
        calls.schedule(this::serveMetrics, DEFERRED_START_MILLIS);
        calls.schedule(
                new ScaleTask(cloudApi, leaderElection, calls::schedule, System::nanoTime, dispatcher)::start,
                DEFERRED_START_MILLIS);
    }

    /**
     * Starts a process.
     *
     * @param settings the settings of the process
     */
    public static RelayProcess start(RelaySettings settings) {
        RelayProcess process = new RelayProcess(settings);
        LOG.info(
                "process-started",
                Field.of("process", settings.name()),
                Field.of("dataCentre", settings.dataCentre()),
                Field.of("address", settings.callers()));
        return process;
    }

    private static XnioWorker worker() {
        OptionMap options = OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.TCP_NODELAY, true)
                .set(Options.WORKER_NAME, "relay")
                .getMap();
        try {
            return Xnio.getInstance().createWorker(options);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start the I/O threads", e);
        }
    }

    private void serveMetrics() {
        RelayDispatcher dispatcher = dispatcherTask.dispatcher();
        metrics.gauge("geraniumstand_calls_open", dispatcherTask::openCalls);
        metrics.gauge(
                "geraniumstand_prompts_quarantined", dispatcherTask.dispatcher().crashingPrompts()::quarantined);
        metrics.gauge(
                "geraniumstand_servers_listed", () -> dispatcher.fleet().all().size());
        metrics.gauge("geraniumstand_calls_waiting", dispatcher::queuedCount);
        metrics.gauge("geraniumstand_call_retries", dispatcher::retryCount);
        metrics.gauge("geraniumstand_call_retries_denied", dispatcher::deniedRetryCount);
        metrics.gauge(
                "geraniumstand_quota_processes",
                () -> dispatcher.quotas().knowledge(System.nanoTime()).processes());
        metrics.gauge(
                "geraniumstand_quota_processes_reporting",
                () -> dispatcher.quotas().knowledge(System.nanoTime()).reporting());
        metrics.gauge("geraniumstand_servers_limited", dispatcher.fleet().limits()::limitedServers);
        metrics.gauge(
                "geraniumstand_configuration_version",
                () -> dispatcher
                        .configuration()
                        .map(RelayConfiguration::version)
                        .orElse(0L));
        metrics.gauge("geraniumstand_steps_failed", failedSteps);
        try {
            closer.add(MetricsListener.start(settings.metrics(), worker, metrics));
        } catch (RuntimeException e) {
            // Requests are served even if metrics are not.
            LOG.warn("metrics-not-served", Field.of("address", settings.metrics()), Field.of("reason", e));
        }
    }

    private void onConfiguration(long version, String text) {
        if (configured.compareAndSet(false, true)) {
            LOG.info("process-ready", Field.of("process", settings.name()));
        }
        peers.onConfiguration(version, text);
    }

    private boolean ready() {
        return configured.get() && !stopping.get();
    }

    /** Shuts down gracefully: fails readiness checks, then stops accepting connections and waits for open calls to finish. */
    public void stopGracefully() {
        stopping.set(true);
        LOG.info("process-stopping", Field.of("process", settings.name()));
        long startNanos = System.nanoTime();
        long limitMillis = Math.round(settings.bounds().stopSeconds() * MILLIS_IN_SECOND) - EXIT_RESERVE_MILLIS;
        worker.getIoThread(0).execute(leaderElection::resign);
        worker.getIoThread(0).execute(registration::deregister);
        peers.announceShutdown();
        listener.disableKeepAlive();
        try {
            TimeUnit.MILLISECONDS.sleep(DEREGISTRATION_MILLIS);
            listener.refuseNewRequests();
            boolean clean = openCalls() == 0;
            while (millisSince(startNanos) < limitMillis && !clean) {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
                clean = openCalls() == 0;
            }
            listener.answerOpenCalls();
            worker.getIoThread(0).execute(usageTask::flush);
            TimeUnit.MILLISECONDS.sleep(FLUSH_MILLIS);
            LOG.info("process-stopped", Field.of("process", settings.name()), Field.of("clean", clean));
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            LOG.warn("process-stopped", Field.of("process", settings.name()), Field.of("reason", e));
        }
    }

    private static long millisSince(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    private int openCalls() throws InterruptedException, ExecutionException, TimeoutException {
        CompletableFuture<Integer> count = new CompletableFuture<>();
        worker.getIoThread(0).execute(() -> count.complete(dispatcherTask.openCalls()));
        return count.get(EXIT_RESERVE_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        closer.close();
    }
}
