package org.geraniumstand.proofs.moves;

import java.util.Random;
import org.geraniumstand.model.id.DataCentreId;

/** Schedules a data centre outage, a wave of host reclaims and process restarts at random times. */
final class FaultSchedule {
    private static final double RECLAIMED_FRACTION = 0.2;

    private FaultSchedule() {}

    static void schedule(MoveSimulation simulation, VirtualTimeScheduler clock, Random random, long length) {
        DataCentreId dataCentre = new DataCentreId("dc" + random.nextInt(3));
        long outOfServiceAtMillis = length / 10 + random.nextInt((int) (length / 2));
        clock.after(outOfServiceAtMillis, () -> simulation.takeOutOfService(dataCentre));
        clock.after(outOfServiceAtMillis + length / 8, () -> simulation.returnToService(dataCentre));
        clock.after(random.nextInt((int) (length * 8 / 10)), () -> reclaim(simulation, random));
        for (int i = 0; i < MoveSimulation.PROCESSES / 2; i++) {
            int process = i;
            clock.after(random.nextInt((int) length), () -> simulation.policy().restart(process));
        }
    }

    private static void reclaim(MoveSimulation simulation, Random random) {
        simulation.servers().stream()
                .filter(server -> server.listed().reclaimable())
                .filter(_server -> random.nextDouble() < RECLAIMED_FRACTION)
                .forEach(FakeServer::startDraining);
        simulation.publishFleet();
    }
}
