package org.geraniumstand.entry.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Map;
import java.util.SortedMap;

/**
 * Writes a registry in the text exposition format of Prometheus.
 *
 * <p>The build has no library for the format, which is simple enough to write here. Source: Prometheus documentation,
 * "Exposition
 * formats", version 0.0.4.
 */
public final class Exposition {
    /** Content type of the format. */
    public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private static final double[] QUANTILES = {0.5, 0.95, 0.99};

    private final StringBuilder text = new StringBuilder();
    private String lastBase = "";

    private Exposition() {}

    /**
     * Writes all metrics of a registry.
     *
     * @param registry registry to write
     */
    public static String of(MetricRegistry registry) {
        Exposition exposition = new Exposition();
        exposition.counters(registry.getCounters());
        exposition.gauges(registry.getGauges());
        exposition.histograms(registry.getHistograms());
        return exposition.text.toString();
    }

    private void counters(SortedMap<String, Counter> counters) {
        counters.forEach((name, counter) -> {
            type(name, "counter");
            line(name, counter.getCount());
        });
    }

    @SuppressWarnings("rawtypes") // The signature of MetricRegistry uses the raw type.
    private void gauges(SortedMap<String, Gauge> gauges) {
        for (Map.Entry<String, Gauge> entry : gauges.entrySet()) {
            if (entry.getValue().getValue() instanceof Number value) {
                type(entry.getKey(), "gauge");
                line(entry.getKey(), value);
            }
        }
    }

    private void histograms(SortedMap<String, Histogram> histograms) {
        histograms.forEach((name, histogram) -> {
            type(name, "summary");
            Snapshot snapshot = histogram.getSnapshot();
            String base = MetricName.base(name);
            String labels = MetricName.labels(name);
            String comma = labels.isEmpty() ? "" : ",";
            for (double quantile : QUANTILES) {
                line(base + "{" + labels + comma + "quantile=\"" + quantile + "\"}", snapshot.getValue(quantile));
            }
            line(base + "_count" + (labels.isEmpty() ? "" : "{" + labels + "}"), histogram.getCount());
        });
    }

    private void type(String name, String type) {
        String base = MetricName.base(name);
        if (!base.equals(lastBase)) {
            text.append("# TYPE ").append(base).append(' ').append(type).append('\n');
            lastBase = base;
        }
    }

    private void line(String name, Number value) {
        text.append(name).append(' ').append(value).append('\n');
    }
}
