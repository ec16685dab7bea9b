package org.geraniumstand.proofs.moves;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.moves.MoveController;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.request.AttemptResult;
import org.geraniumstand.model.request.RequestInfo;

/** Runs the product's move controllers, with peer messages that are delayed by some milliseconds and sometimes lost. */
final class ControllerPolicy implements Policy {
    private static final int MAX_DELAY_MILLIS = 4;
    private static final double LOSS_RATE = 0.01;

    private final VirtualTimeScheduler clock;
    private final Random random;
    private final Consumer<Action.EndMove> store;
    private final List<MoveController> controllers = new ArrayList<>();
    private final List<Configuration> configurations = new ArrayList<>();
    private List<BackendServer> fleet = List.of();
    private int incarnations;

    ControllerPolicy(VirtualTimeScheduler clock, Random random, int processes, Consumer<Action.EndMove> store) {
        this.clock = clock;
        this.random = random;
        this.store = store;
        for (int i = 0; i < processes; i++) {
            controllers.add(newController(processes));
            configurations.add(null);
        }
    }

    private MoveController newController(int processes) {
        MoveController controller = new MoveController(new ProcessId("entry-" + incarnations++));
        controller.onPeers(processes - 1);
        return controller;
    }

    @Override
    public List<VersionId> versionsFor(int process, RequestInfo requestInfo) {
        return controllers.get(process).versionsFor(requestInfo, clock.now());
    }

    @Override
    public void attemptEnded(int process, RequestInfo requestInfo, BackendServer server, AttemptResult report) {
        execute(process, controllers.get(process).onAttemptEnded(requestInfo, server, report, clock.now()));
    }

    @Override
    public void updateConfiguration(int process, Configuration next) {
        configurations.set(process, next);
        execute(process, controllers.get(process).onConfiguration(next, clock.now()));
    }

    @Override
    public void updateFleet(List<BackendServer> servers) {
        fleet = servers;
        for (int i = 0; i < controllers.size(); i++) {
            execute(i, controllers.get(i).onFleet(servers, clock.now()));
        }
    }

    @Override
    public void updateWarmth(ServerId server, boolean warm) {
        controllers.forEach(controller -> controller.onWarmth(server, warm, clock.now()));
    }

    @Override
    public void tick(int process) {
        execute(process, controllers.get(process).onTick(clock.now()));
    }

    @Override
    public void restart(int process) {
        MoveController controller = newController(controllers.size());
        controllers.set(process, controller);
        controller.onFleet(fleet, clock.now());
        execute(process, controller.onConfiguration(configurations.get(process), clock.now()));
    }

    private void execute(int process, List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Action.ShareEvidence share) {
                sendToPeers(
                        process, peer -> execute(peer, controllers.get(peer).onEvidence(share.rows(), clock.now())));
            } else if (action instanceof Action.ShareBadVersion share) {
                sendToPeers(
                        process,
                        peer -> execute(
                                peer, controllers.get(peer).onBadVersions(List.of(share.badVersion()), clock.now())));
            } else if (action instanceof Action.EndMove end) {
                store.accept(end);
            }
        }
    }

    private void sendToPeers(int process, Consumer<Integer> message) {
        for (int peer = 0; peer < controllers.size(); peer++) {
            int receiver = peer;
            if (peer != process && random.nextDouble() >= LOSS_RATE) {
                clock.after(1 + random.nextInt(MAX_DELAY_MILLIS), () -> message.accept(receiver));
            }
        }
    }
}
