package org.geraniumstand.entry.relay;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumstand.decisions.relay.CrashingPrompts;
import org.geraniumstand.decisions.relay.RelayDispatcher;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.relay.CrashEvidence;
import org.geraniumstand.model.relay.ServicePart;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;

/** Exchanges evidence of prompts that crash servers and logs each change of the quarantine; used on one thread. */
final class CrashEvidenceExchange {
    private static final Log LOG = Log.of(CrashEvidenceExchange.class);

    private final ProcessId self;
    private final RelayDispatcher dispatcher;
    private Optional<QuarantineStore> store = Optional.empty();
    private int processes = 1;
    private CrashEvidence aggregate = CrashEvidence.NONE;

    CrashEvidenceExchange(ProcessId self, RelayDispatcher dispatcher) {
        this.self = self;
        this.dispatcher = dispatcher;
    }

    /** Sets the store that keeps the quarantine, and continues the quarantine that it has. */
    void setStore(QuarantineStore next) {
        store = Optional.of(next);
        next.read(prompts -> log(dispatcher.crashingPrompts().restore(prompts, processes, System.nanoTime()), self));
    }

    /**
     * Looks for prompts that crash servers and returns what to report to the aggregators.
     *
     * @param live the processes that run
     * @param writes whether this process writes the quarantine to the store
     * @param nowNanos the monotonic time in nanoseconds
     */
    CrashEvidence evaluate(Set<ProcessId> live, boolean writes, long nowNanos) {
        CrashingPrompts prompts = dispatcher.crashingPrompts();
        processes = live.size();
        prompts.retain(live);
        log(prompts.evaluate(processes, nowNanos), self);
        aggregate = prompts.aggregate(nowNanos);
        CrashEvidence report = prompts.report(nowNanos);
        if (writes) {
            store.ifPresent(known -> known.write(report.quarantined()));
        }
        return report;
    }

    /** Merges the evidence of another process. */
    void onEvidence(ProcessId from, CrashEvidence evidence, long nowNanos) {
        if (from.equals(self)) {
            return;
        }
        log(dispatcher.crashingPrompts().merge(from, evidence, processes, nowNanos), from);
    }

    /** Returns the evidence of all processes, as of the last evaluation. */
    CrashEvidence aggregate() {
        return aggregate;
    }

    private static void log(List<CrashingPrompts.Change> changes, ProcessId source) {
        for (CrashingPrompts.Change change : changes) {
            LOG.warn(
                    change.added() ? "prompt-quarantined" : "prompt-released",
                    Field.of("parts", text(change.parts())),
                    Field.of("crashes", change.crashes()),
                    Field.of("background", String.format(Locale.ROOT, "%.3f", change.background())),
                    Field.of("source", source));
        }
    }

    private static String text(List<ServicePart> parts) {
        return parts.stream().map(ServicePart::toString).collect(Collectors.joining(","));
    }
}
