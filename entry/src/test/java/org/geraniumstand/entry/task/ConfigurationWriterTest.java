package org.geraniumstand.entry.task;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.MoveState;
import org.geraniumstand.model.config.VersionMove;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.PresetId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.support.json.Json;
import org.junit.jupiter.api.Test;

final class ConfigurationWriterTest {
    private static final String KEY = "g/configuration";
    private static final long SETTLE_MILLIS = 600_000;

    private final VirtualTimer timer = new VirtualTimer();
    private final FakeSharedState sharedState = new FakeSharedState();
    private final FakeStore store = new FakeStore(timer, new Random(1));
    private final List<Result<Long, WriteError>> results = new ArrayList<>();
    private int tokens;

    @Test
    void firstDocumentGetsGenerationOne() {
        change(writer(store), c -> Result.ok(c.withPreset(new PresetId("day"))));
        assertThat(results, is(List.of(Result.ok(1L))));
        assertThat(document(store).presetInForce(), is(new PresetId("day")));
        assertThat(sharedState.stored(), hasSize(1));
    }

    @Test
    void changeWithoutEffectIsAcceptedWithoutWrite() {
        change(writer(store), c -> Result.ok(c.withPreset(new PresetId("day"))));
        change(writer(store), c -> Result.ok(c.withPreset(new PresetId("day"))));
        assertThat(results, is(List.of(Result.ok(1L), Result.ok(1L))));
    }

    @Test
    void rejectedChangeWritesNothing() {
        change(writer(store), _c -> Result.err("no such preset"));
        assertThat(kind(results.get(0)), is(Optional.of(WriteError.Kind.REFUSED)));
        assertThat(store.value(KEY), is(Optional.empty()));
    }

    @Test
    void levelAboveLowestMemberLevelIsRejected() {
        sharedState.members(List.of(member("a", 1), member("b", 2)));
        change(writer(store), ConfigurationWriterTest::needingLevelTwo);
        assertThat(kind(results.get(0)), is(Optional.of(WriteError.Kind.LEVEL_TOO_HIGH)));
        sharedState.members(List.of(member("b", 2)));
        change(writer(store), ConfigurationWriterTest::needingLevelTwo);
        assertThat(results.get(1), is(Result.ok(1L)));
    }

    @Test
    void outageBeforeWriteIsReportedAsStoreUnavailable() {
        store.setUnavailable(true);
        change(writer(store), c -> Result.ok(c.withPreset(new PresetId("day"))));
        assertThat(kind(results.get(0)), is(Optional.of(WriteError.Kind.STORE_UNAVAILABLE)));
    }

    @Test
    void writeToRestoredStoreGetsGenerationAboveOneInForce() {
        store.put(KEY, Json.write(Configuration.empty().withGeneration(3)));
        Configuration inForce = Configuration.empty().withGeneration(9).withPreset(new PresetId("peak"));
        sharedState.inForce(9, Json.write(inForce));
        change(writer(store), c -> Result.ok(c.withMoves(List.of(move("m")))));
        assertThat(results, is(List.of(Result.ok(10L))));
        assertThat(document(store).presetInForce(), is(new PresetId("peak")));
    }

    @Test
    void changeOfDocumentWithUnknownEntriesIsRejected() {
        String newer = Json.write(Configuration.empty().withGeneration(2)).replaceFirst("\\{", "{\"added\":1,");
        store.put(KEY, newer);
        change(writer(store), c -> Result.ok(c.withPreset(new PresetId("day"))));
        assertThat(kind(results.get(0)), is(Optional.of(WriteError.Kind.DOCUMENT_TOO_NEW)));
        assertThat(store.value(KEY).orElseThrow(), containsString("added"));
    }

    @Test
    void endOfMoveIsRecordedOnceByConcurrentProcesses() {
        store.put(KEY, Json.write(Configuration.empty().withGeneration(1).withMoves(List.of(move("m")))));
        Action.EndMove done = new Action.EndMove(new MoveId("m"), MoveState.DONE, "all traffic moved");
        Action.EndMove bad = new Action.EndMove(new MoveId("m"), MoveState.WITHDRAWN, "it fails");
        List<ProcessId> processes = Stream.of("a", "b", "c").map(ProcessId::new).toList();
        sharedState.members(Stream.of("a", "b", "c").map(n -> member(n, 1)).toList());
        store.setUnavailable(true);
        for (ProcessId process : processes) {
            StoreAvailability availability = new StoreAvailability(new Random(1), 0);
            MoveEndWriter moveEndWriter = new MoveEndWriter(writer(store), timer, process, sharedState, availability);
            moveEndWriter.end(process.value().equals("b") ? bad : done);
        }
        timer.runUntil(SETTLE_MILLIS);
        store.setUnavailable(false);
        timer.runUntil(2 * SETTLE_MILLIS);
        assertThat(document(store).generation(), is(2L));
        assertThat(document(store).moves().get(0).state() == MoveState.UNDER_WAY, is(false));
    }

    /**
     * Guards against lost or duplicated changes when responses are lost: each accepted change must be in the document
     * exactly once, and a change that failed must not be in it unless its outcome is unknown.
     */
    @Property(tries = 300, seed = "42")
    void concurrentChangesAreAppliedExactlyOnce(
            @ForAll long seed,
            @ForAll @IntRange(min = 2, max = 6) int operators,
            @ForAll @IntRange(max = 6) int tenths) {
        VirtualTimer time = new VirtualTimer();
        FakeStore faultyStore = new FakeStore(time, new Random(seed));
        faultyStore.setFaultRate(tenths / 10.0);
        Map<String, Result<Long, WriteError>> resultsByMove = new HashMap<>();
        for (int i = 0; i < operators; i++) {
            String name = "move-" + i;
            ConfigurationWriter writer = writer(faultyStore, time, new FakeSharedState(), new Random(seed + i));
            time.after(
                    () -> writer.change(
                            current -> add(current, name), result -> resultsByMove.put(name, generation(result))),
                    3L * i);
        }
        time.runUntil(SETTLE_MILLIS);
        Configuration last =
                faultyStore.value(KEY).map(ConfigurationWriterTest::parse).orElseGet(Configuration::empty);
        List<String> present = last.moves().stream().map(m -> m.id().value()).toList();
        List<String> accepted = resultsByMove.keySet().stream()
                .filter(name -> resultsByMove.get(name).value().isPresent())
                .toList();
        List<String> possible = resultsByMove.keySet().stream()
                .filter(name -> accepted.contains(name)
                        || kind(resultsByMove.get(name)).equals(Optional.of(WriteError.Kind.UNSETTLED)))
                .toList();
        assertThat(resultsByMove.size(), is(operators));
        assertThat(present, hasItems(accepted.toArray(new String[0])));
        assertThat(possible, hasItems(present.toArray(new String[0])));
        assertThat(present, containsInAnyOrder(present.stream().distinct().toArray()));
        assertThat(last.generation(), is((long) present.size()));
    }

    private static Result<Configuration, String> add(Configuration current, String name) {
        List<VersionMove> moves = new ArrayList<>(current.moves());
        moves.add(move(name));
        return Result.ok(current.withMoves(moves));
    }

    private static Result<Configuration, String> needingLevelTwo(Configuration current) {
        return Result.ok(parse(Json.write(current).replace("\"requiredLevel\":0", "\"requiredLevel\":2")));
    }

    private void change(ConfigurationWriter writer, ConfigurationWriter.Change change) {
        writer.change(change, result -> results.add(generation(result)));
        timer.runUntil(SETTLE_MILLIS * (results.size() + 1));
    }

    private ConfigurationWriter writer(FakeStore used) {
        return writer(used, timer, sharedState, new Random(5));
    }

    private ConfigurationWriter writer(FakeStore used, VirtualTimer time, FakeSharedState known, Random random) {
        return new ConfigurationWriter(
                used, time, KEY, known, () -> "t" + ++tokens, millis -> 1 + (long) (random.nextDouble() * millis));
    }

    private static Result<Long, WriteError> generation(Result<ConfigurationWriter.Accepted, WriteError> result) {
        return result.map(accepted -> accepted.configuration().generation());
    }

    private static Optional<WriteError.Kind> kind(Result<Long, WriteError> result) {
        return result.error().map(WriteError::kind);
    }

    private static Configuration document(FakeStore store) {
        return parse(store.value(KEY).orElseThrow());
    }

    private static Configuration parse(String text) {
        return Json.read(text, Configuration.class).value().orElseThrow();
    }

    private static Member member(String name, int level) {
        return new Member(new ProcessId(name), new DataCentreId("dc"), "127.0.0.1", 1, 2, 3, level, false);
    }

    private static VersionMove move(String name) {
        return new VersionMove(
                new MoveId(name),
                new ServiceId("s"),
                new VersionId("1"),
                new VersionId("2"),
                0,
                1,
                1,
                MoveState.UNDER_WAY,
                "");
    }
}
