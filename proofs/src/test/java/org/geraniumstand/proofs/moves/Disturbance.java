package org.geraniumstand.proofs.moves;

import java.util.Random;
import org.geraniumstand.model.id.DataCentreId;

/** Takes a data centre out and in, reclaims hosts in a wave and restarts processes, at random times. */
final class Disturbance {
    private static final double RECLAIMED_PART = 0.2;

    private Disturbance() {}

    static void plan(MoveWorld world, Clockwork clock, Random random, long length) {
        DataCentreId dataCentre = new DataCentreId("dc" + random.nextInt(3));
        long outAt = length / 10 + random.nextInt((int) (length / 2));
        clock.after(outAt, () -> world.takeOut(dataCentre));
        clock.after(outAt + length / 8, () -> world.bringBack(dataCentre));
        clock.after(random.nextInt((int) (length * 8 / 10)), () -> reclaim(world, random));
        for (int i = 0; i < MoveWorld.PROCESSES / 2; i++) {
            int process = i;
            clock.after(random.nextInt((int) length), () -> world.policy().restart(process));
        }
    }

    private static void reclaim(MoveWorld world, Random random) {
        world.servers().stream()
                .filter(server -> server.listed().reclaimable())
                .filter(_server -> random.nextDouble() < RECLAIMED_PART)
                .forEach(FakeServer::leave);
        world.shareFleet();
    }
}
