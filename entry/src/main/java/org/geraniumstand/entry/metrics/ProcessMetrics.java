package org.geraniumstand.entry.metrics;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.LockFreeExponentiallyDecayingReservoir;
import com.codahale.metrics.MetricRegistry;
import java.lang.management.ManagementFactory;
import java.util.function.LongSupplier;

/** The registry of a process, with gauges about the Java machine. */
public final class ProcessMetrics {
    private final MetricRegistry registry = new MetricRegistry();

    /** Creates the registry. */
    public ProcessMetrics() {
        // The platform's beans are looked up when they are read, as that takes a starting process long.
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
     * @param name its name, in snake case, with its unit at the end
     * @param value reads it; called when the metrics are read
     */
    public void gauge(String name, LongSupplier value) {
        registry.gauge(name, () -> (Gauge<Long>) value::getAsLong);
    }

    /**
     * Returns a histogram of recent values, a new one if there is none.
     *
     * @param name its name, in snake case, with its unit at the end
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
