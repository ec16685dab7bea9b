package org.geraniumstand.standins.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;
import org.HdrHistogram.Histogram;
import org.geraniumstand.model.timeline.Label;
import org.geraniumstand.standins.load.RequestResult.Kind;
import org.geraniumstand.standins.load.RequestResult.Verdict;
import org.geraniumstand.support.json.Json;

/** Summarizes the results of requests. */
public final class Report {
    private static final int SIGNIFICANT_DIGITS = 3;

    private Report() {}

    /**
     * Formats the counts and latency percentiles, one line per metric.
     *
     * @param results the results of the requests
     */
    public static List<String> lines(List<RequestResult> results) {
        List<String> lines = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            List<RequestResult> ofKind =
                    results.stream().filter(result -> result.kind() == kind).toList();
            StringBuilder line =
                    new StringBuilder(Label.of(kind)).append(" sent=").append(ofKind.size());
            for (Verdict verdict : Verdict.values()) {
                long count = ofKind.stream()
                        .filter(result -> result.verdict() == verdict)
                        .count();
                line.append(' ').append(Label.of(verdict)).append('=').append(count);
            }
            lines.add(line.toString());
            List<RequestResult> answered = ofKind.stream()
                    .filter(result -> result.verdict() == Verdict.ANSWERED)
                    .toList();
            lines.add(percentiles(Label.of(kind) + " first-millis", answered, RequestResult::firstMillis));
            lines.add(percentiles(Label.of(kind) + " total-millis", answered, RequestResult::totalMillis));
        }
        lines.add("stream reconnects="
                + results.stream().mapToInt(RequestResult::reconnects).sum() + " restarts="
                + results.stream().mapToInt(RequestResult::restarts).sum());
        return lines;
    }

    /**
     * Writes the results to a file as JSON lines.
     *
     * @param results the results of the requests
     * @param file the ledger file
     */
    public static void write(List<RequestResult> results, Path file) throws IOException {
        Files.write(file, results.stream().map(Json::write).toList());
    }

    private static String percentiles(String name, List<RequestResult> results, ToLongFunction<RequestResult> metric) {
        Histogram histogram = new Histogram(SIGNIFICANT_DIGITS);
        results.forEach(result -> histogram.recordValue(Math.max(0, metric.applyAsLong(result))));
        return name + " count=" + histogram.getTotalCount() + " p50=" + histogram.getValueAtPercentile(50) + " p95="
                + histogram.getValueAtPercentile(95) + " p99=" + histogram.getValueAtPercentile(99) + " max="
                + histogram.getMaxValue();
    }
}
