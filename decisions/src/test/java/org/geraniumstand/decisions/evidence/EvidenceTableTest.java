package org.geraniumstand.decisions.evidence;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.geraniumstand.model.evidence.EvidenceKey;
import org.geraniumstand.model.evidence.EvidenceRow;
import org.geraniumstand.model.evidence.LatencyBuckets;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.junit.jupiter.api.Test;

final class EvidenceTableTest {
    private static final ServiceId SERVICE = new ServiceId("board-model");
    private static final VersionId VERSION = new VersionId("v2");
    private static final RouteId ROUTE = new RouteId("chat");
    private static final ProcessId SELF = new ProcessId("p0");

    private final EvidenceTable table = new EvidenceTable(SELF);

    @Property(seed = "11", tries = 200)
    void mergeIsCommutativeAssociativeAndIdempotent(@ForAll long seed, @ForAll @IntRange(min = 1, max = 30) int size) {
        Random random = new Random(seed);
        List<EvidenceRow> rows = new ArrayList<>(
                IntStream.range(0, size).mapToObj(_i -> randomRow(random)).toList());
        EvidenceTable merged = new EvidenceTable(SELF);
        EvidenceTable shuffled = new EvidenceTable(SELF);
        merged.merge(rows, _key -> true);

        rows.addAll(rows.subList(0, random.nextInt(size) + 1));
        Collections.shuffle(rows, random);
        int cut = random.nextInt(rows.size());
        shuffled.merge(rows.subList(cut, rows.size()), _key -> true);
        shuffled.merge(rows.subList(0, cut), _key -> true);

        assertThat(totalOf(shuffled), equalTo(totalOf(merged)));
    }

    @Test
    void mergeIgnoresReceivedRowsOfThisProcess() {
        table.count(SERVICE, VERSION, ROUTE, tally -> tally.withAttempt(false));

        table.merge(List.of(row(SELF, 10, 10)), _key -> true);

        assertThat(table.total(SERVICE, VERSION, ROUTE).requests(), equalTo(1L));
    }

    @Test
    void changedRowIsDrainedOnce() {
        table.count(SERVICE, VERSION, ROUTE, tally -> tally.withAttempt(true).withLatency(20));

        assertThat(table.drainChanged(1_000, _key -> true), hasSize(1));
        assertThat(table.drainChanged(1_000, _key -> true), empty());
    }

    @Test
    void retainDropsRowsOfEndedMoves() {
        table.merge(List.of(row(new ProcessId("p1"), 10, 1)), _key -> true);

        table.retain(_key -> false);

        assertThat(table.size(), equalTo(0));
        assertThat(table.total(SERVICE, VERSION, ROUTE).requests(), equalTo(0L));
    }

    @Test
    void mergeDropsRowsBeyondMaximum() {
        for (int i = 0; i < EvidenceTable.MAX_ROWS + 10; i++) {
            table.merge(List.of(row(new ProcessId("p" + (i + 1)), 1, 0)), _key -> true);
        }

        assertThat(table.size(), equalTo(EvidenceTable.MAX_ROWS));
    }

    @Test
    void quantileBucketContainsQuantile() {
        Tally tally = Tally.NONE;
        for (int i = 0; i < 100; i++) {
            tally = tally.withLatency(i < 95 ? 10 : 500);
        }

        assertThat(tally.quantileBucket(0.9), equalTo(LatencyBuckets.indexOf(10)));
        assertThat(tally.quantileBucket(0.99), equalTo(LatencyBuckets.indexOf(500)));
        assertThat(tally.latenciesAbove(LatencyBuckets.indexOf(10)), equalTo(5L));
    }

    private static String totalOf(EvidenceTable table) {
        Tally tally = table.total(SERVICE, VERSION, ROUTE);
        return tally.requests() + " " + tally.failures() + " " + tally.bucketList();
    }

    private static EvidenceRow randomRow(Random random) {
        return row(new ProcessId("p" + (1 + random.nextInt(3))), random.nextInt(50), random.nextInt(20));
    }

    private static EvidenceRow row(ProcessId process, long requests, long failures) {
        List<Long> buckets = IntStream.range(0, LatencyBuckets.COUNT)
                .mapToObj(i -> i * requests % 7)
                .toList();
        return new EvidenceRow(new EvidenceKey(process, SERVICE, VERSION, ROUTE), requests, failures, buckets);
    }
}
