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
import org.geraniumstand.decisions.membership.Incarnation;
import org.geraniumstand.decisions.relay.RelayBounds;
import org.geraniumstand.decisions.relay.RelayDesk;
import org.geraniumstand.decisions.relay.StoreBounds;
import org.geraniumstand.decisions.relay.UsageBook;
import org.geraniumstand.entry.metrics.ProcessMetrics;
import org.geraniumstand.entry.metrics.RelayMetrics;
import org.geraniumstand.entry.settings.RelaySettings;
import org.geraniumstand.http.opaque.DeskTask;
import org.geraniumstand.http.opaque.OpaqueListener;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.relay.RelayPlan;
import org.geraniumstand.model.time.Moment;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.platform.PlatformCloudApi;
import org.geraniumstand.platform.PlatformEntryReader;
import org.geraniumstand.platform.PlatformHeaderCodec;
import org.geraniumstand.platform.PlatformMoveStatusFormat;
import org.geraniumstand.platform.PlatformStore;
import org.geraniumstand.support.io.Closer;
import org.geraniumstand.support.log.Log;
import org.geraniumstand.support.net.HttpCalls;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Wires the tasks of a process that relays calls as they are and gathers what must be closed. */
public final class RelayProcess implements AutoCloseable {
    private static final Log LOG = Log.of(RelayProcess.class);
    private static final int BUFFER_BYTES = 8 * 1024;
    private static final double MILLIS_IN_SECOND = 1_000;

    /** Processes taken to share what servers bear until any other is known; the largest deployment to design for has 330. */
    private static final int PROCESSES_ASSUMED = 330;

    /**
     * Milliseconds for which a stopping process takes requests as before; the balancer asks every 1,000 and leaves
     * after the second miss.
     */
    private static final long LEAVING_MILLIS = 2_900;

    /** Milliseconds kept back at the end of a stop for the process to end by itself. */
    private static final long END_MILLIS = 500;

    /** Milliseconds for the last counts to reach the store, which answers in a few. */
    private static final long FLUSH_MILLIS = 100;

    /** Milliseconds after the start when the tasks begin that no caller waits for. */
    private static final long LATER_MILLIS = 400;

    private static final long PAUSE_MILLIS = 20;

    private final Closer closer = new Closer();
    private final RelaySettings settings;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final AtomicBoolean informed = new AtomicBoolean();
    private final XnioWorker worker;
    private final ProcessMetrics metrics = new ProcessMetrics();
    private final DeskTask desk;
    private final OpaqueListener listener;
    private final LeaderElection lease;
    private final UsageTask usage;
    private final PeerTask peers;
    private final StoreRegistration member;

    private RelayProcess(RelaySettings settings) {
        this.settings = settings;
        this.worker = worker();
        closer.add(worker::shutdownNow);
        ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
        RelaySettings.Bounds bounds = settings.bounds();
        ProcessId self = Incarnation.name(settings.name(), System.currentTimeMillis());
        Random random = new Random(self.hashCode());
        RelayDesk decisions = new RelayDesk(
                settings.dataCentre(),
                new RelayBounds(
                        bounds.repeatRatio(),
                        bounds.repeatSlack(),
                        Math.round(bounds.repeatWindowSeconds() * MILLIS_IN_SECOND),
                        bounds.quotaSlack(),
                        bounds.quotaOverrun(),
                        PROCESSES_ASSUMED),
                random,
                System.nanoTime());
        HttpCalls calls = closer.add(HttpCalls.on(worker));
        PlatformStore store = new PlatformStore(calls, settings.store());
        PlatformCloudApi duties = new PlatformCloudApi(calls, settings.cloud());
        this.lease = new LeaderElection(store, calls::schedule, random, settings.name(), bounds.leaseMillis());
        this.usage = new UsageTask(
                store,
                duties,
                lease,
                calls::schedule,
                self,
                new UsageBook(Math.round(bounds.usageWindowSeconds() * MILLIS_IN_SECOND)),
                Math.round(bounds.usageLateSeconds() * MILLIS_IN_SECOND),
                () -> new Moment(System.nanoTime(), System.currentTimeMillis()));
        this.desk = new DeskTask(decisions, worker.getIoThread(0), usage::onBegan);
        PlatformEntryReader reader = new PlatformEntryReader();
        AtomicReference<StoreEntryApplier> facts = new AtomicReference<>();
        this.peers = closer.add(PeerTask.open(
                settings, self, decisions, calls::schedule, text -> facts.get().onFact(reader.plan(text))));
        MoveOrderReverter orders = new MoveOrderReverter(store, new PlatformMoveStatusFormat(), lease, calls::schedule);
        facts.set(new StoreEntryApplier(desk, orders, this::onPlan));
        this.member = new StoreRegistration(store, calls::schedule, peers);
        StoreWatcher follower = new StoreWatcher(
                store,
                reader,
                calls::schedule,
                System::nanoTime,
                new StoreBounds(bounds.drainMillis(), bounds.contactMillis()),
                facts.get(),
                LeaderElection.KEY,
                lease::onRecord);
        peers.follow(follower);
        peers.tellFirst(lease);
        peers.count(usage);
        peers.start();
        // The store's answer is on its way while the listeners open.
        calls.schedule(follower::start, 0);
        this.listener = closer.add(OpaqueListener.start(new OpaqueListener.Setup(
                settings.callers(),
                settings.readiness(),
                worker,
                buffers,
                desk,
                new PlatformHeaderCodec(),
                this::ready,
                new RelayMetrics(metrics))));
        calls.schedule(usage::start, 0);
        // How many processes share the quotas is known before the first requests.
        calls.schedule(member::list, 0);
        // What callers do not wait for comes after what they do.
        calls.schedule(member::open, LATER_MILLIS);
        calls.schedule(lease::start, LATER_MILLIS);
        calls.schedule(orders::start, LATER_MILLIS);
        calls.schedule(this::serveMetrics, LATER_MILLIS);
        calls.schedule(new ScaleTask(duties, lease, calls::schedule, System::nanoTime, decisions)::start, LATER_MILLIS);
    }

    /**
     * Starts a process.
     *
     * @param settings its settings
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
        RelayDesk decisions = desk.desk();
        metrics.gauge("geraniumstand_calls_open", desk::open);
        metrics.gauge(
                "geraniumstand_servers_listed", () -> decisions.fleet().all().size());
        metrics.gauge(
                "geraniumstand_configuration_version",
                () -> decisions.plan().map(RelayPlan::version).orElse(0L));
        try {
            closer.add(MetricsListener.start(settings.metrics(), worker, metrics));
        } catch (RuntimeException e) {
            // Callers are served without metrics too.
            LOG.warn("metrics-not-served", Field.of("address", settings.metrics()), Field.of("reason", e));
        }
    }

    private void onPlan(long version, String text) {
        if (informed.compareAndSet(false, true)) {
            LOG.info("process-ready", Field.of("process", settings.name()));
        }
        peers.onPlan(version, text);
    }

    private boolean ready() {
        return informed.get() && !stopping.get();
    }

    /** Takes no new connections, finishes what is under way and returns. */
    public void stopGracefully() {
        stopping.set(true);
        LOG.info("process-stopping", Field.of("process", settings.name()));
        long start = System.nanoTime();
        long most = Math.round(settings.bounds().stopSeconds() * MILLIS_IN_SECOND) - END_MILLIS;
        worker.getIoThread(0).execute(lease::end);
        worker.getIoThread(0).execute(member::end);
        peers.announceStop();
        listener.closeConnections();
        try {
            TimeUnit.MILLISECONDS.sleep(LEAVING_MILLIS);
            listener.takeNoMore();
            boolean clean = open() == 0;
            while (millisSince(start) < most && !clean) {
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
                clean = open() == 0;
            }
            worker.getIoThread(0).execute(usage::flush);
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

    private int open() throws InterruptedException, ExecutionException, TimeoutException {
        CompletableFuture<Integer> count = new CompletableFuture<>();
        worker.getIoThread(0).execute(() -> count.complete(desk.open()));
        return count.get(END_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        closer.close();
    }
}
