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

/** Checks that an accepted configuration is in force on all hosts within seconds and never reverts. */
final class ConfigurationProofTest {
    private static final DateTimeFormatter LOG_TIME_FORMAT =
            DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSSxx", Locale.ROOT);
    private static final Pattern IN_FORCE = Pattern.compile("event=configuration-in-force .*?generation=(\\d+)");
    private static final long PROPAGATION_LIMIT_MILLIS = 6_000;
    private static final int LAST_GENERATION = 10;
    private static final int OPERATORS = 6;
    private static final int ACCEPTED = 202;

    @Test
    void changesTakeEffectInOrderOnAllHostsWhenStoreIsSlowOrReturnsOldGeneration() {
        try (Cluster cluster = Cluster.start(5)) {
            for (long generation = 2; generation <= LAST_GENERATION; generation++) {
                PresetId preset = generation % 2 == 0 ? TestConfigurations.PEAK : TestConfigurations.ORDINARY;
                Configuration next =
                        TestConfigurations.initial().withPreset(preset).withGeneration(generation);
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
                awaitOnAllHosts(cluster, generation);
            }
            // A store that returns an old configuration, as after its own recovery, must not override the newer one.
            cluster.configure(TestConfigurations.initial().withGeneration(LAST_GENERATION - 3));
            Conditions.pause(2_000);
            for (EntryHost host : cluster.hosts()) {
                List<Long> observed = generations(host);
                assertThat(
                        host.log(),
                        observed,
                        is(observed.stream().sorted().distinct().toList()));
                assertThat(observed, hasItem((long) LAST_GENERATION));
            }
        }
    }

    @Test
    void newProcessGetsNewestConfigurationFromPeersWhileStoreIsDown() {
        try (Cluster cluster = Cluster.start(3)) {
            cluster.configure(TestConfigurations.initial().withGeneration(2));
            awaitOnAllHosts(cluster, 2);
            cluster.store().switches().set(StoreSwitch.SILENT, 1);
            EntryHost old = cluster.hosts().get(2);
            old.kill();
            EntryHost replacement = cluster.replace(old);
            Conditions.await("the new process is ready", replacement::ready);
            Instant ready = Instant.now();
            // Log lines are written in batches, so the line may appear only after the process is ready. The time in the
            // line must not be later than that.
            Conditions.await(
                    "the log contains the generation",
                    () -> generations(replacement).contains(2L));
            assertThat(replacement.log(), inForceAt(replacement, 2), is(lessThanOrEqualTo(ready)));
        }
    }

    @Test
    void concurrentOperatorsNeverShareOrLoseGeneration() {
        try (Cluster cluster = Cluster.start(3)) {
            Queue<String> refusals = new ConcurrentLinkedQueue<>();
            List<Callable<List<Long>>> operators = new ArrayList<>();
            for (int i = 0; i < OPERATORS; i++) {
                EntryHost host = cluster.hosts().get(i % 3);
                String dataCentre = TestConfigurations.DATA_CENTRES.get(i % 2);
                operators.add(() -> takeOutOfServiceAndReturn(host, dataCentre, refusals));
            }
            cluster.store().switches().set(StoreSwitch.LOSE_ANSWERS, 4);
            List<Long> accepted = Traffic.callConcurrently(operators).stream()
                    .flatMap(List::stream)
                    .toList();
            assertThat(refusals + "\n" + cluster.logs(), accepted.size(), is(greaterThan(0)));
            assertThat(accepted, is(accepted.stream().distinct().toList()));
            long newest = accepted.stream().mapToLong(Long::longValue).max().orElseThrow();
            assertThat(cluster.configuration().generation(), is(greaterThanOrEqualTo(newest)));
            awaitOnAllHosts(cluster, cluster.configuration().generation());
        }
    }

    /** Returns the generations of the changes by this operator that were accepted. */
    private static List<Long> takeOutOfServiceAndReturn(EntryHost host, String dataCentre, Queue<String> refusals) {
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

    private static void awaitOnAllHosts(Cluster cluster, long generation) {
        boolean onAllHosts = Conditions.holdsWithin(
                PROPAGATION_LIMIT_MILLIS,
                () -> cluster.hosts().stream()
                        .allMatch(host -> generations(host).contains(generation)));
        assertThat("generation " + generation + "\n" + cluster.logs(), onAllHosts, is(true));
    }

    /** Returns the time of the first log line that reports the generation as in force. */
    private static Instant inForceAt(EntryHost host, long generation) {
        return host.log()
                .lines()
                .filter(line -> IN_FORCE.matcher(line)
                        .results()
                        .anyMatch(found -> Long.parseLong(found.group(1)) == generation))
                .map(line -> OffsetDateTime.parse(line.replaceAll("^time=(\\S+) .*$", "$1"), LOG_TIME_FORMAT)
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
