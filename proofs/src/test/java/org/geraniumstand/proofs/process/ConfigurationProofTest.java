package org.geraniumstand.proofs.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Instant;
import java.time.OffsetDateTime;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.regex.Pattern;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.id.PresetId;
import org.geraniumstand.model.operation.ChangeResponse;
import org.geraniumstand.standins.StoreSwitch;
import org.geraniumstand.support.json.Json;
import org.junit.jupiter.api.Test;

/** An accepted configuration is in force everywhere within seconds and never reverts. */
final class ConfigurationProofTest {
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSSxx", Locale.ROOT);
    private static final Pattern IN_FORCE = Pattern.compile("event=configuration-in-force .*?generation=(\\d+)");
    private static final long SECONDS_MILLIS = 6_000;
    private static final int CHANGES = 10;
    private static final int OPERATORS = 6;
    private static final int ACCEPTED = 202;

    @Test
    void changesArriveEverywhereInOrderThoughTheStoreIsSlowOrShowsOldOnes() {
        try (Cluster cluster = Cluster.start(5)) {
            for (long generation = 2; generation <= CHANGES; generation++) {
                PresetId preset = generation % 2 == 0 ? Documents.PEAK : Documents.ORDINARY;
                Configuration next = Documents.first().withPreset(preset).withGeneration(generation);
                if (generation == 4) {
                    cluster.store().switches().set(StoreSwitch.SLOW_MILLIS, 800);
                }
                if (generation == 7) {
                    cluster.store().switches().clear();
                }
                if (generation == 8) {
                    cluster.storeRelay().stallConnections();
                }
                cluster.configure(next);
                awaitEverywhere(cluster, generation);
            }
            // A store that shows an old document again, as after its own recovery, must not win.
            cluster.configure(Documents.first().withGeneration(CHANGES - 3));
            Conditions.pause(2_000);
            for (EntryHost host : cluster.hosts()) {
                List<Long> seen = generations(host);
                assertThat(
                        host.log(), seen, is(seen.stream().sorted().distinct().toList()));
                assertThat(seen, hasItem((long) CHANGES));
            }
        }
    }

    @Test
    void newProcessTakesTheNewestFromItsPeersWhileTheStoreIsOut() {
        try (Cluster cluster = Cluster.start(3)) {
            cluster.configure(Documents.first().withGeneration(2));
            awaitEverywhere(cluster, 2);
            cluster.store().switches().set(StoreSwitch.SILENT, 1);
            EntryHost old = cluster.hosts().get(2);
            old.kill();
            EntryHost fresh = cluster.replace(old);
            Conditions.await("the new process is ready", fresh::ready);
            Instant ready = Instant.now();
            // Lines are written in batches, so the line may come after the process is ready; what it tells may not.
            Conditions.await(
                    "the log names the generation", () -> generations(fresh).contains(2L));
            assertThat(fresh.log(), inForceAt(fresh, 2), is(lessThanOrEqualTo(ready)));
        }
    }

    @Test
    void racingOperatorsNeverShareOrLoseGeneration() {
        try (Cluster cluster = Cluster.start(3)) {
            Queue<String> refusals = new ConcurrentLinkedQueue<>();
            List<Callable<List<Long>>> operators = new ArrayList<>();
            for (int i = 0; i < OPERATORS; i++) {
                EntryHost host = cluster.hosts().get(i % 3);
                String dataCentre = Documents.DATA_CENTRES.get(i % 2);
                operators.add(() -> takeOutAndBringBack(host, dataCentre, refusals));
            }
            cluster.store().switches().set(StoreSwitch.LOSE_ANSWERS, 4);
            List<Long> accepted =
                    Traffic.together(operators).stream().flatMap(List::stream).toList();
            assertThat(refusals + "\n" + cluster.logs(), accepted.size(), is(greaterThan(0)));
            assertThat(accepted, is(accepted.stream().distinct().toList()));
            long newest = accepted.stream().mapToLong(Long::longValue).max().orElseThrow();
            assertThat(cluster.configuration().generation(), is(greaterThanOrEqualTo(newest)));
            awaitEverywhere(cluster, cluster.configuration().generation());
        }
    }

    /** Returns the generations that were accepted as changes of this operator. */
    private static List<Long> takeOutAndBringBack(EntryHost host, String dataCentre, Queue<String> refusals) {
        List<Long> accepted = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            String path = "/v1/data-centres/" + dataCentre + (i % 2 == 0 ? "/out" : "/in");
            Http.Answer answer = Http.send(
                    host.address().operatorPort(),
                    "POST",
                    path,
                    "",
                    "Authorization",
                    "Bearer " + EntryHost.operatorToken());
            refusals.add(answer.status() < 300 ? "" : answer.toString());
            if (answer.status() == ACCEPTED) {
                ChangeResponse change =
                        Json.read(answer.text(), ChangeResponse.class).value().orElseThrow();
                if (change.changed()) {
                    accepted.add(change.generation());
                }
            }
        }
        return accepted;
    }

    private static void awaitEverywhere(Cluster cluster, long generation) {
        boolean everywhere = Conditions.holdsWithin(
                SECONDS_MILLIS,
                () -> cluster.hosts().stream()
                        .allMatch(host -> generations(host).contains(generation)));
        assertThat("generation " + generation + "\n" + cluster.logs(), everywhere, is(true));
    }

    /** Returns when a process wrote first that a generation is in force. */
    private static Instant inForceAt(EntryHost host, long generation) {
        return host.log()
                .lines()
                .filter(line -> IN_FORCE.matcher(line)
                        .results()
                        .anyMatch(found -> Long.parseLong(found.group(1)) == generation))
                .map(line -> OffsetDateTime.parse(line.replaceAll("^time=(\\S+) .*$", "$1"), TIME)
                        .toInstant())
                .findFirst()
                .orElseThrow();
    }

    private static List<Long> generations(EntryHost host) {
        return IN_FORCE.matcher(host.log())
                .results()
                .map(found -> Long.parseLong(found.group(1)))
                .toList();
    }
}
