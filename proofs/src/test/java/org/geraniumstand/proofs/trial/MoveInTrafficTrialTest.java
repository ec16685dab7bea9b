package org.geraniumstand.proofs.trial;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.geraniumstand.decisions.TrafficController;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.MoveState;
import org.geraniumstand.model.config.VersionMove;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.VersionId;
import org.junit.jupiter.api.Test;

/** Measures version moves with whole controllers: grants, cold servers, late lists and all. */
final class MoveInTrafficTrialTest {
    private static final int SEEDS = 20;
    private static final double[] TEAMS = {0.5, 0.4, 0.1, 0.1, 0.1};
    private static final VersionId NEXT = new VersionId("v2");
    private static final double START_MILLIS = 10_000;
    private static final double LENGTH_MILLIS = 420_000;
    private static final double NOTICE_MILLIS = 8_000;
    private static final DataCentreId OUT = new DataCentreId("b");

    @Test
    void goodVersionOnColdServersCompletes() {
        for (Outcome outcome : run("controller-good", Behaviour.GOOD, _world -> {})) {
            assertThat(outcome.reason(), outcome.state(), equalTo(MoveState.DONE));
        }
    }

    @Test
    void failingVersionIsWithdrawn() {
        for (Outcome outcome : run("controller-failing", Behaviour.failing(0.3, 0), _world -> {})) {
            assertThat(outcome.reason(), outcome.state(), equalTo(MoveState.WITHDRAWN));
        }
    }

    @Test
    void dataCentreOutAndInWithReclaimsAndMoveCostsNothing() {
        for (Outcome outcome : run("controller-data-centre", Behaviour.GOOD, MoveInTrafficTrialTest::disturb)) {
            assertThat(outcome.lateWork(), equalTo(0));
            assertThat(outcome.lost(), equalTo(0L));
            assertThat(outcome.reason(), outcome.state(), equalTo(MoveState.DONE));
        }
    }

    private static void disturb(TrialWorld world) {
        world.clock().at(225_000, () -> world.configure(world.configuration().withDataCentresOut(Set.of(OUT))));
        world.clock().at(235_000, () -> {
            world.reclaim(new HostId("host-model-0"), NOTICE_MILLIS);
            world.reclaim(new HostId("host-next-2"), NOTICE_MILLIS);
        });
        world.clock().at(265_000, () -> {
            world.servers().stream()
                    .filter(s -> s.listed().dataCentre().equals(OUT))
                    .forEach(FakeServer::turnCold);
            world.configure(world.configuration().withDataCentresOut(Set.of()));
        });
    }

    private static List<Outcome> run(String name, Behaviour behaviour, Consumer<TrialWorld> events) {
        List<Outcome> outcomes = IntStream.rangeClosed(1, SEEDS)
                .parallel()
                .mapToObj(seed -> runOnce(seed, behaviour, events))
                .toList();
        outcomes.forEach(outcome -> System.out.println("trial " + name + ' ' + outcome));
        return outcomes;
    }

    private static Outcome runOnce(int seed, Behaviour behaviour, Consumer<TrialWorld> events) {
        TrialWorld world =
                new TrialWorld(Deployments.dunmore(), (self, _count) -> new TrafficController(self)::handle, seed);
        declare(world, behaviour);
        Workload.start(world, TEAMS, 1, START_MILLIS + LENGTH_MILLIS);
        events.accept(world);
        world.start();
        world.clock().runUntil(START_MILLIS + LENGTH_MILLIS + 40_000);
        return Outcome.of(world);
    }

    private static void declare(TrialWorld world, Behaviour behaviour) {
        for (int i = 0; i < 6; i++) {
            DataCentreId centre = Deployments.dunmore().dataCentres().get(i % 3);
            world.addServer(
                    Deployments.server("next-" + i, Deployments.MODEL, NEXT, centre, 100 + i % 3), behaviour, true);
        }
        long start = VirtualClock.START_EPOCH_MILLIS + (long) START_MILLIS;
        VersionMove move = new VersionMove(
                new MoveId("move-1"),
                Deployments.MODEL,
                Deployments.FIRST,
                NEXT,
                start,
                start + (long) LENGTH_MILLIS,
                5,
                MoveState.UNDER_WAY,
                "");
        Configuration next = world.configuration().withMoves(List.of(move));
        world.clock().at(START_MILLIS - 5_000, () -> world.configure(next));
    }

    /** What came of a seed. */
    private record Outcome(MoveState state, String reason, int calls, long atNew, long lost, int lateWork) {
        static Outcome of(TrialWorld world) {
            VersionMove move = world.configuration().moves().get(0);
            List<Call> calls = world.calls();
            return new Outcome(
                    move.state(),
                    move.reason(),
                    calls.size(),
                    calls.stream()
                            .filter(call -> call.server != null)
                            .filter(call -> call.server.listed().version().equals(NEXT))
                            .count(),
                    calls.stream().filter(call -> !call.answered()).count(),
                    world.newWorkToLeaving());
        }
    }
}
