package org.geraniumstand.entry.operator;

import java.util.List;
import java.util.Locale;
import org.geraniumstand.entry.core.CoreListener;
import org.geraniumstand.entry.metrics.ObservedStore;
import org.geraniumstand.entry.metrics.ProcessMetrics;
import org.geraniumstand.entry.metrics.TrafficMetrics;
import org.geraniumstand.entry.timeline.HybridClock;
import org.geraniumstand.entry.timeline.Timeline;
import org.geraniumstand.entry.timeline.TimelineListener;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.timeline.EventKind;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.model.timeline.Label;
import org.geraniumstand.outside.store.ConfigurationStore;
import org.geraniumstand.support.log.Log;

/**
 * What a process shows of itself: its time line and its metrics.
 *
 * @param clock gives events their times
 * @param timeline the newest events
 * @param metrics all metrics
 * @param traffic counts requests
 */
public record Observability(HybridClock clock, Timeline timeline, ProcessMetrics metrics, TrafficMetrics traffic) {
    private static final Log LOG = Log.of(Observability.class);

    /**
     * Creates the time line and the metrics of a process.
     *
     * @param self the process
     */
    public static Observability of(ProcessId self) {
        HybridClock clock = new HybridClock(System::currentTimeMillis);
        ProcessMetrics metrics = new ProcessMetrics();
        return new Observability(
                clock, new Timeline(self, clock), metrics, new TrafficMetrics(metrics, System::nanoTime));
    }

    /** Returns what follows the core. */
    public List<CoreListener> listeners() {
        return List.of(new TimelineListener(timeline), traffic);
    }

    /**
     * Returns a store whose calls are counted and whose state is noted.
     *
     * @param store the store
     */
    public ObservedStore observe(ConfigurationStore store) {
        return new ObservedStore(store, metrics, this::noteStore);
    }

    /**
     * Puts an event on the time line and into the log.
     *
     * @param kind what happened
     * @param fields details
     */
    public void note(EventKind kind, Field... fields) {
        timeline.note(kind, "", List.of(fields));
        LOG.info(Label.of(kind), fields);
    }

    private void noteStore(ObservedStore.State state) {
        note(EventKind.STORE_STATE, Field.of("state", state.name().toLowerCase(Locale.ROOT)));
    }
}
