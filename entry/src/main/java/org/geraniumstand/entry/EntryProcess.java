package org.geraniumstand.entry;

import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.decisions.TrafficController;
import org.geraniumstand.decisions.membership.Incarnation;
import org.geraniumstand.entry.capacity.Capacity;
import org.geraniumstand.entry.core.Core;
import org.geraniumstand.entry.metrics.ObservedStore;
import org.geraniumstand.entry.operator.CheckedChanges;
import org.geraniumstand.entry.operator.Observability;
import org.geraniumstand.entry.operator.OperatorApi;
import org.geraniumstand.entry.operator.OperatorListener;
import org.geraniumstand.entry.operator.StatusSource;
import org.geraniumstand.entry.operator.TimelineHandover;
import org.geraniumstand.entry.operator.WriterChanges;
import org.geraniumstand.entry.settings.Settings;
import org.geraniumstand.entry.task.HostListPoll;
import org.geraniumstand.entry.task.SharedStateTasks;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.status.MemberStatus;
import org.geraniumstand.model.timeline.EventKind;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.model.timeline.Label;
import org.geraniumstand.outside.cloud.HttpHostList;
import org.geraniumstand.outside.store.HttpConfigurationStore;
import org.geraniumstand.support.io.Closer;
import org.geraniumstand.support.log.Log;
import org.geraniumstand.support.net.AsyncHttpClient;

/** Starts the tasks of an entry process and closes their resources. */
public final class EntryProcess implements AutoCloseable {
    private static final Log LOG = Log.of(EntryProcess.class);

    private final Closer closer = new Closer();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final Settings settings;
    private final ProcessId self;
    private final Observability observability;
    private final Core core;
    private final AtomicReference<SharedStateTasks> sharedStateTasks = new AtomicReference<>();
    private final CheckedChanges changes;
    private final TimelineHandover timelineHandover;
    private final RequestPipeline requests;

    private EntryProcess(Settings settings) {
        this.settings = settings;
        this.self = Incarnation.name(settings.process().name(), System.currentTimeMillis());
        this.observability = Observability.of(self);
        this.core = closer.add(Core.start(new TrafficController(self), this::execute, observability.listeners()));
        AsyncHttpClient httpClient = closer.add(AsyncHttpClient.start("platform"));
        ObservedStore store = observability.observe(
                new HttpConfigurationStore(httpClient, settings.store().url()));
        this.timelineHandover = new TimelineHandover(
                self, observability.timeline(), httpClient, settings.operators().token());
        SharedStateTasks tasks = closer.add(SharedStateTasks.start(settings, self, store, httpClient, core));
        sharedStateTasks.set(tasks);
        // The writer passes accepted documents to the shared state, which puts them in force.
        this.changes = new CheckedChanges(
                new WriterChanges(tasks.writer()),
                System::currentTimeMillis,
                () -> tasks.peers().view().lowestLevel(),
                _accepted -> {});
        new HostListPoll(
                        new HttpHostList(httpClient, settings.cloud().url()),
                        httpClient::schedule,
                        tasks.peers(),
                        core::observe,
                        new Random(self.hashCode()))
                .start();
        this.requests = closer.add(
                RequestPipeline.start(settings, self, core, tasks.peers(), store, httpClient, stopping::get));
        Capacity.start(self, store, settings.store().prefix(), settings.cloud().url(), httpClient, core::configuration);
        observability.metrics().gauge("geraniumstand_core_messages_waiting", core::depth);
        observability
                .metrics()
                .gauge(
                        "geraniumstand_peer_sent_bytes",
                        () -> tasks.peers().traffic().sentBytes());
        observability
                .metrics()
                .gauge(
                        "geraniumstand_peer_received_bytes",
                        () -> tasks.peers().traffic().receivedBytes());
        observability
                .metrics()
                .gauge(
                        "geraniumstand_peer_connections",
                        () -> tasks.peers().traffic().connections());
        closer.add(startOperatorListener(store));
    }

    /**
     * Starts a process.
     *
     * @param settings settings of the process
     */
    public static EntryProcess start(Settings settings) {
        EntryProcess process = new EntryProcess(settings);
        process.observability.recordEvent(
                EventKind.PROCESS_STARTED,
                Field.of("process", process.self),
                Field.of("dataCentre", settings.process().dataCentre()));
        return process;
    }

    /**
     * Rejects new requests and waits for the requests in progress to end.
     *
     * @param timeoutMillis maximum wait in milliseconds
     */
    public void stopGracefully(long timeoutMillis) {
        stopping.set(true);
        observability.recordEvent(EventKind.PROCESS_STOPPING, Field.of("process", self));
        sharedStateTasks.get().announceShutdown();
        core.observe(new Observation.ShutdownRequested());
        try {
            boolean clean = requests.drain(stopped, timeoutMillis);
            observability.recordEvent(EventKind.PROCESS_STOPPED, Field.of("process", self), Field.of("clean", clean));
            timelineHandover.send(members());
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        closer.close();
    }

    private OperatorListener startOperatorListener(ObservedStore store) {
        StatusSource status = new StatusSource(
                self,
                settings.process().dataCentre(),
                core,
                observability.traffic(),
                this::members,
                this::ready,
                stopping::get,
                store);
        OperatorApi api = new OperatorApi(
                self, core::configuration, changes, status::read, observability, System::currentTimeMillis);
        return OperatorListener.start(
                settings.operators().host(),
                settings.operators().port(),
                settings.operators().token(),
                this::ready,
                api);
    }

    private List<MemberStatus> members() {
        return sharedStateTasks.get().members();
    }

    private boolean ready() {
        return core.configuration().isPresent()
                && !stopping.get()
                && sharedStateTasks.get().readiness().refusal().isEmpty();
    }

    private void execute(Action action) {
        if (action instanceof Action.ShutdownCompleted) {
            stopped.countDown();
        } else if (action instanceof Action.RecordEvent event) {
            LOG.info(Label.of(event.kind()), event.fields().toArray(new Field[0]));
        } else {
            executeSharedStateAction(action);
        }
    }

    // The core starts before the shared state tasks; it emits no actions for them until they run.
    private void executeSharedStateAction(Action action) {
        SharedStateTasks tasks = sharedStateTasks.get();
        if (tasks != null) {
            tasks.execute(action);
        }
    }
}
