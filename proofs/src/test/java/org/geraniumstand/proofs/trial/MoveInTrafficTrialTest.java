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

/** Measures version moves with complete controllers, including grants, cold servers and delayed server lists. */
final class MoveInTrafficTrialTest {
    private static final int SEEDS = 20;
    private static final double[] TEAM_RATES = {0.5, 0.4, 0.1, 0.1, 0.1};
    private static final VersionId NEW_VERSION = new VersionId("v2");
    private static final double START_MILLIS = 10_000;
    private static final double LENGTH_MILLIS = 420_000;
    private static final double NOTICE_MILLIS = 8_000;
    private static final DataCentreId DATA_CENTRE_OUT = new DataCentreId("b");

    @Test
    void goodVersionOnColdServersCompletes() {
        for (Outcome outcome : run("controller-good", Behaviour.HEALTHY, _simulation -> {})) {
            assertThat(outcome.reason(), outcome.state(), equalTo(MoveState.DONE));
        }
    }

    @Test
    void failingVersionIsWithdrawn() {
        for (Outcome outcome : run("controller-failing", Behaviour.failing(0.3, 0), _simulation -> {})) {
            assertThat(outcome.reason(), outcome.state(), equalTo(MoveState.WITHDRAWN));
        }
    }

    @Test
    void dataCentreOutAndInWithReclaimsAndMoveCostsNothing() {
        for (Outcome outcome : run("controller-data-centre", Behaviour.HEALTHY, MoveInTrafficTrialTest::injectFaults)) {
            assertThat(outcome.lateWork(), equalTo(0));
            assertThat(outcome.lost(), equalTo(0L));
            assertThat(outcome.reason(), outcome.state(), equalTo(MoveState.DONE));
        }
    }

    private static void injectFaults(TrialSimulation simulation) {
        simulation
                .clock()
                .at(
                        225_000,
                        () -> simulation.configure(
                                simulation.configuration().withDataCentresOut(Set.of(DATA_CENTRE_OUT))));
        simulation.clock().at(235_000, () -> {
            simulation.reclaim(new HostId("host-model-0"), NOTICE_MILLIS);
            simulation.reclaim(new HostId("host-next-2"), NOTICE_MILLIS);
        });
        simulation.clock().at(265_000, () -> {
            simulation.servers().stream()
                    .filter(s -> s.listed().dataCentre().equals(DATA_CENTRE_OUT))
                    .forEach(FakeServer::becomeCold);
            simulation.configure(simulation.configuration().withDataCentresOut(Set.of()));
        });
    }

    private static List<Outcome> run(String name, Behaviour behaviour, Consumer<TrialSimulation> events) {
        List<Outcome> outcomes = IntStream.rangeClosed(1, SEEDS)
                .parallel()
                .mapToObj(seed -> runOnce(seed, behaviour, events))
                .toList();
        outcomes.forEach(outcome -> System.out.println("trial " + name + ' ' + outcome));
        return outcomes;
    }

    private static Outcome runOnce(int seed, Behaviour behaviour, Consumer<TrialSimulation> events) {
        TrialSimulation simulation =
                new TrialSimulation(Deployments.dunmore(), (self, _count) -> new TrafficController(self)::handle, seed);
        addMove(simulation, behaviour);
        Workload.start(simulation, TEAM_RATES, 1, START_MILLIS + LENGTH_MILLIS);
        events.accept(simulation);
        simulation.start();
        simulation.clock().runUntil(START_MILLIS + LENGTH_MILLIS + 40_000);
        return Outcome.of(simulation);
    }

    private static void addMove(TrialSimulation simulation, Behaviour behaviour) {
        for (int i = 0; i < 6; i++) {
            DataCentreId dataCentreId = Deployments.dunmore().dataCentres().get(i % 3);
            simulation.addServer(
                    Deployments.server("next-" + i, Deployments.MODEL, NEW_VERSION, dataCentreId, 100 + i % 3),
                    behaviour,
                    true);
        }
        long start = VirtualClock.START_EPOCH_MILLIS + (long) START_MILLIS;
        VersionMove move = new VersionMove(
                new MoveId("move-1"),
                Deployments.MODEL,
                Deployments.INITIAL_VERSION,
                NEW_VERSION,
                start,
                start + (long) LENGTH_MILLIS,
                5,
                MoveState.UNDER_WAY,
                "");
        Configuration next = simulation.configuration().withMoves(List.of(move));
        simulation.clock().at(START_MILLIS - 5_000, () -> simulation.configure(next));
    }

    /** Holds the result of the run with one seed. */
    private record Outcome(MoveState state, String reason, int calls, long atNew, long lost, int lateWork) {
        static Outcome of(TrialSimulation simulation) {
            VersionMove move = simulation.configuration().moves().get(0);
            List<Call> calls = simulation.calls();
            return new Outcome(
                    move.state(),
                    move.reason(),
                    calls.size(),
                    calls.stream()
                            .filter(call -> call.server != null)
                            .filter(call -> call.server.listed().version().equals(NEW_VERSION))
                            .count(),
                    calls.stream().filter(call -> !call.answered()).count(),
                    simulation.lateDispatchCount());
        }
    }
}
