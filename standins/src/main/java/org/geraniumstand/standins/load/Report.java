package org.geraniumstand.standins.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;
import org.HdrHistogram.Histogram;
import org.geraniumstand.model.timeline.Label;
import org.geraniumstand.standins.load.Told.Kind;
import org.geraniumstand.standins.load.Told.Verdict;
import org.geraniumstand.support.json.Json;

/** Sums up what callers were told. */
public final class Report {
    private static final int DIGITS = 3;

    private Report() {}

    /**
     * Returns one line a measure.
     *
     * @param told what callers were told
     */
    public static List<String> lines(List<Told> told) {
        List<String> lines = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            List<Told> same = told.stream().filter(t -> t.kind() == kind).toList();
            StringBuilder line =
                    new StringBuilder(Label.of(kind)).append(" sent=").append(same.size());
            for (Verdict verdict : Verdict.values()) {
                long count = same.stream().filter(t -> t.verdict() == verdict).count();
                line.append(' ').append(Label.of(verdict)).append('=').append(count);
            }
            lines.add(line.toString());
            List<Told> answered =
                    same.stream().filter(t -> t.verdict() == Verdict.ANSWERED).toList();
            lines.add(percentiles(Label.of(kind) + " first-millis", answered, Told::firstMillis));
            lines.add(percentiles(Label.of(kind) + " total-millis", answered, Told::totalMillis));
        }
        lines.add(
                "stream reconnects=" + told.stream().mapToInt(Told::reconnects).sum() + " restarts="
                        + told.stream().mapToInt(Told::restarts).sum());
        return lines;
    }

    /**
     * Writes the ledger as JSON lines.
     *
     * @param told what callers were told
     * @param file the file
     */
    public static void write(List<Told> told, Path file) throws IOException {
        Files.write(file, told.stream().map(Json::write).toList());
    }

    private static String percentiles(String name, List<Told> told, ToLongFunction<Told> measure) {
        Histogram histogram = new Histogram(DIGITS);
        told.forEach(t -> histogram.recordValue(Math.max(0, measure.applyAsLong(t))));
        return name + " count=" + histogram.getTotalCount() + " p50=" + histogram.getValueAtPercentile(50) + " p95="
                + histogram.getValueAtPercentile(95) + " p99=" + histogram.getValueAtPercentile(99) + " max="
                + histogram.getMaxValue();
    }
}
