package org.geraniumstand.entry.metrics;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.LockFreeExponentiallyDecayingReservoir;
import com.codahale.metrics.MetricRegistry;
import java.lang.management.ManagementFactory;
import java.util.function.LongSupplier;

/** Holds the metric registry of a process, with gauges of the Java virtual machine. */
public final class ProcessMetrics {
    private final MetricRegistry registry = new MetricRegistry();

    /** Creates the registry and its gauges. */
    public ProcessMetrics() {
        // The management beans are looked up on each read, because their first lookup would slow the start of the
        // process.
        gauge(
                "geraniumstand_heap_used_bytes",
                () -> ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
        gauge(
                "geraniumstand_heap_max_bytes",
                () -> ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getMax());
        gauge(
                "geraniumstand_non_heap_used_bytes",
                () -> ManagementFactory.getMemoryMXBean()
                        .getNonHeapMemoryUsage()
                        .getUsed());
        gauge("geraniumstand_threads", () -> ManagementFactory.getThreadMXBean().getThreadCount());
        gauge(
                "geraniumstand_uptime_millis",
                () -> ManagementFactory.getRuntimeMXBean().getUptime());
    }

    /**
     * Adds a gauge.
     *
     * @param name metric name, in snake case, with the unit as suffix
     * @param value supplies the current value; called on each read of the metrics
     */
    public void gauge(String name, LongSupplier value) {
        registry.gauge(name, () -> (Gauge<Long>) value::getAsLong);
    }

    /**
     * Returns the histogram of recent values with the given name; creates it if it does not exist.
     *
     * @param name metric name, in snake case, with the unit as suffix
     */
    Histogram histogram(String name) {
        return registry.histogram(
                name,
                () -> new Histogram(
                        LockFreeExponentiallyDecayingReservoir.builder().build()));
    }

    /** Returns the registry. */
    MetricRegistry registry() {
        return registry;
    }

    /** Returns all metrics in the text exposition format. */
    public String text() {
        return Exposition.of(registry);
    }
}
