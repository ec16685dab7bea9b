package org.geraniumstand.entry;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.decisions.TrafficController;
import org.geraniumstand.entry.core.Core;
import org.geraniumstand.entry.metrics.ObservedStore;
import org.geraniumstand.entry.operator.CheckedChanges;
import org.geraniumstand.entry.operator.ConfigurationEdits;
import org.geraniumstand.entry.operator.Observability;
import org.geraniumstand.entry.operator.OperatorApi;
import org.geraniumstand.entry.operator.OperatorListener;
import org.geraniumstand.entry.operator.StatusSource;
import org.geraniumstand.entry.operator.StoreChanges;
import org.geraniumstand.entry.settings.Settings;
import org.geraniumstand.entry.task.ConfigurationWatch;
import org.geraniumstand.entry.task.HostListPoll;
import org.geraniumstand.http.caller.CallerListener;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.status.MemberStatus;
import org.geraniumstand.model.timeline.EventKind;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.platform.cloud.HttpHostList;
import org.geraniumstand.platform.io.Closer;
import org.geraniumstand.platform.log.Log;
import org.geraniumstand.platform.net.HttpCalls;
import org.geraniumstand.platform.store.HttpConfigurationStore;

/** Wires the tasks of an entry process and gathers what must be closed. */
public final class EntryProcess implements AutoCloseable {
    private static final Log LOG = Log.of(EntryProcess.class);
    private static final int PROTOCOL_LEVEL = 1;

    private final Closer closer = new Closer();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final Settings settings;
    private final ProcessId self;
    private final Observability observability;
    private final Core core;
    private final CheckedChanges changes;

    private EntryProcess(Settings settings) {
        this.settings = settings;
        this.self = new ProcessId(
                settings.process().name() + "-" + Long.toString(System.currentTimeMillis(), Character.MAX_RADIX));
        this.observability = Observability.of(self);
        this.core = closer.add(Core.start(new TrafficController(self), this::carryOut, observability.listeners()));
        HttpCalls calls = closer.add(HttpCalls.start("platform"));
        ObservedStore store = observability.observe(
                new HttpConfigurationStore(calls, settings.store().url()));
        String key = settings.store().prefix() + "/configuration";
        this.changes = new CheckedChanges(
                new StoreChanges(store, key),
                System::currentTimeMillis,
                () -> PROTOCOL_LEVEL,
                next -> core.tell(new Observation.ConfigurationAccepted(next)));
        new ConfigurationWatch(store, calls, key, core).start();
        new HostListPoll(new HttpHostList(calls, settings.cloud().url()), calls, core).start();
        closer.add(CallerListener.start(
                self,
                settings.callers().host(),
                settings.callers().port(),
                settings.callers().ioThreads(),
                core));
        observability.metrics().gauge("geraniumstand_core_messages_waiting", core::depth);
        closer.add(startOperators(store));
    }

    /**
     * Starts a process.
     *
     * @param settings its settings
     */
    public static EntryProcess start(Settings settings) {
        EntryProcess process = new EntryProcess(settings);
        process.observability.note(
                EventKind.PROCESS_STARTED,
                Field.of("process", process.self),
                Field.of("dataCentre", settings.process().dataCentre()));
        return process;
    }

    /**
     * Takes no new work, finishes what is under way and returns.
     *
     * @param timeoutMillis longest time to wait, in milliseconds
     */
    public void stopGracefully(long timeoutMillis) {
        stopping.set(true);
        observability.note(EventKind.PROCESS_STOPPING, Field.of("process", self));
        core.tell(new Observation.StopRequested());
        try {
            boolean clean = stopped.await(timeoutMillis, TimeUnit.MILLISECONDS);
            observability.note(EventKind.PROCESS_STOPPED, Field.of("process", self), Field.of("clean", clean));
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        closer.close();
    }

    private OperatorListener startOperators(ObservedStore store) {
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
                self,
                core::configuration,
                changes,
                status::read,
                observability.timeline(),
                observability.metrics()::text,
                System::currentTimeMillis);
        return OperatorListener.start(
                settings.operators().host(),
                settings.operators().port(),
                settings.operators().token(),
                this::ready,
                api);
    }

    private List<MemberStatus> members() {
        Member member = new Member(
                self,
                settings.process().dataCentre(),
                settings.operators().host(),
                settings.callers().port(),
                settings.peers().port(),
                settings.operators().port(),
                PROTOCOL_LEVEL,
                stopping.get());
        long generation = core.configuration().map(Configuration::generation).orElse(-1L);
        return List.of(new MemberStatus(member, generation, 0));
    }

    private boolean ready() {
        return core.configuration().isPresent() && !stopping.get();
    }

    private void carryOut(Action action) {
        if (action instanceof Action.StopCompleted) {
            stopped.countDown();
        } else if (action instanceof Action.EndMove end) {
            endMove(end);
        } else if (action instanceof Action.Note note) {
            LOG.info(
                    note.kind().name().toLowerCase(Locale.ROOT).replace('_', '-'),
                    note.fields().toArray(new Field[0]));
        }
    }

    private void endMove(Action.EndMove end) {
        changes.change(
                ConfigurationEdits.endMove(end.move(), end.end(), end.reason()),
                true,
                result -> result.error()
                        .ifPresent(error -> LOG.warn(
                                "move-end-not-recorded",
                                Field.of("move", end.move()),
                                Field.of("end", end.end()),
                                Field.of("reason", error.title()))));
    }
}
