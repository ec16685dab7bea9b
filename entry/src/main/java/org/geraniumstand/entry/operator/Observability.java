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
 * Holds the timeline and the metrics of a process.
 *
 * @param clock timestamps events
 * @param timeline most recent events
 * @param metrics all metrics of the process
 * @param traffic counts requests
 */
public record Observability(HybridClock clock, Timeline timeline, ProcessMetrics metrics, TrafficMetrics traffic) {
    private static final Log LOG = Log.of(Observability.class);

    /**
     * Creates the timeline and the metrics of a process.
     *
     * @param self ID of the process
     */
    public static Observability of(ProcessId self) {
        HybridClock clock = new HybridClock(System::currentTimeMillis);
        ProcessMetrics metrics = new ProcessMetrics();
        return new Observability(
                clock, new Timeline(self, clock), metrics, new TrafficMetrics(metrics, System::nanoTime));
    }

    /** Returns the listeners of the core. */
    public List<CoreListener> listeners() {
        return List.of(new TimelineListener(timeline), traffic);
    }

    /**
     * Wraps a store to count its calls and to record its state changes.
     *
     * @param store store to wrap
     */
    public ObservedStore observe(ConfigurationStore store) {
        return new ObservedStore(store, metrics, this::recordStoreState);
    }

    /**
     * Records an event on the timeline and in the log.
     *
     * @param kind kind of event
     * @param fields details of the event
     */
    public void recordEvent(EventKind kind, Field... fields) {
        timeline.recordEvent(kind, "", List.of(fields));
        LOG.info(Label.of(kind), fields);
    }

    private void recordStoreState(ObservedStore.State state) {
        recordEvent(EventKind.STORE_STATE, Field.of("state", state.name().toLowerCase(Locale.ROOT)));
    }
}
