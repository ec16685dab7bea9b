package org.geraniumstand.entry;

import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.decisions.TrafficController;
import org.geraniumstand.decisions.membership.Incarnation;
import org.geraniumstand.entry.core.Core;
import org.geraniumstand.entry.operator.OperatorListener;
import org.geraniumstand.entry.settings.Settings;
import org.geraniumstand.entry.task.FactTasks;
import org.geraniumstand.entry.task.HostListPoll;
import org.geraniumstand.http.caller.CallerListener;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.platform.cloud.HttpHostList;
import org.geraniumstand.platform.io.Closer;
import org.geraniumstand.platform.log.Log;
import org.geraniumstand.platform.net.HttpCalls;
import org.geraniumstand.platform.store.ConfigurationStore;
import org.geraniumstand.platform.store.HttpConfigurationStore;

/** Wires the tasks of an entry process and gathers what must be closed. */
public final class EntryProcess implements AutoCloseable {
    private static final Log LOG = Log.of(EntryProcess.class);

    private final Closer closer = new Closer();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final ProcessId self;
    private final Core core;
    private final AtomicReference<FactTasks> facts = new AtomicReference<>();

    private EntryProcess(Settings settings) {
        this.self = Incarnation.name(settings.process().name(), System.currentTimeMillis());
        this.core = closer.add(Core.start(new TrafficController(self), this::carryOut));
        HttpCalls calls = closer.add(HttpCalls.start("platform"));
        ConfigurationStore store =
                new HttpConfigurationStore(calls, settings.store().url());
        facts.set(closer.add(FactTasks.start(settings, self, store, calls, core)));
        new HostListPoll(new HttpHostList(calls, settings.cloud().url()), calls, core).start();
        closer.add(CallerListener.start(
                self,
                settings.callers().host(),
                settings.callers().port(),
                settings.callers().ioThreads(),
                core));
        closer.add(OperatorListener.start(
                settings.operators().host(), settings.operators().port(), this::ready));
    }

    /**
     * Starts a process.
     *
     * @param settings its settings
     */
    public static EntryProcess start(Settings settings) {
        EntryProcess process = new EntryProcess(settings);
        LOG.info(
                "process-started",
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
        LOG.info("process-stopping", Field.of("process", self));
        facts.get().announceStop();
        core.tell(new Observation.StopRequested());
        try {
            boolean clean = stopped.await(timeoutMillis, TimeUnit.MILLISECONDS);
            LOG.info("process-stopped", Field.of("process", self), Field.of("clean", clean));
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        closer.close();
    }

    private boolean ready() {
        return core.configuration().isPresent()
                && !stopping.get()
                && facts.get().readiness().refusal().isEmpty();
    }

    private void carryOut(Action action) {
        if (action instanceof Action.StopCompleted) {
            stopped.countDown();
        } else if (action instanceof Action.Note note) {
            LOG.info(
                    note.kind().name().toLowerCase(Locale.ROOT).replace('_', '-'),
                    note.fields().toArray(new Field[0]));
        } else {
            carryOutFact(action);
        }
    }

    // The core runs a moment before the tasks that share facts do; nothing that it says then concerns them.
    private void carryOutFact(Action action) {
        FactTasks tasks = facts.get();
        if (tasks != null) {
            tasks.carryOut(action);
        }
    }
}
