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

/** The product's boards, with peer messages that take some milliseconds and are lost now and then. */
final class BoardPolicy implements Policy {
    private static final int DELAY_MILLIS = 4;
    private static final double LOSS = 0.01;

    private final Clockwork clock;
    private final Random random;
    private final Consumer<Action.EndMove> store;
    private final List<MoveController> boards = new ArrayList<>();
    private final List<Configuration> configurations = new ArrayList<>();
    private List<BackendServer> fleet = List.of();
    private int incarnations;

    BoardPolicy(Clockwork clock, Random random, int processes, Consumer<Action.EndMove> store) {
        this.clock = clock;
        this.random = random;
        this.store = store;
        for (int i = 0; i < processes; i++) {
            boards.add(newBoard(processes));
            configurations.add(null);
        }
    }

    private MoveController newBoard(int processes) {
        MoveController board = new MoveController(new ProcessId("entry-" + incarnations++));
        board.onPeers(processes - 1);
        return board;
    }

    @Override
    public List<VersionId> versionsFor(int process, RequestInfo facts) {
        return boards.get(process).versionsFor(facts, clock.now());
    }

    @Override
    public void ended(int process, RequestInfo facts, BackendServer server, AttemptResult report) {
        carryOut(process, boards.get(process).onAttemptEnded(facts, server, report, clock.now()));
    }

    @Override
    public void configuration(int process, Configuration next) {
        configurations.set(process, next);
        carryOut(process, boards.get(process).onConfiguration(next, clock.now()));
    }

    @Override
    public void fleet(List<BackendServer> servers) {
        fleet = servers;
        for (int i = 0; i < boards.size(); i++) {
            carryOut(i, boards.get(i).onFleet(servers, clock.now()));
        }
    }

    @Override
    public void warmth(ServerId server, boolean warm) {
        boards.forEach(board -> board.onWarmth(server, warm, clock.now()));
    }

    @Override
    public void tick(int process) {
        carryOut(process, boards.get(process).onTick(clock.now()));
    }

    @Override
    public void restart(int process) {
        MoveController board = newBoard(boards.size());
        boards.set(process, board);
        board.onFleet(fleet, clock.now());
        carryOut(process, board.onConfiguration(configurations.get(process), clock.now()));
    }

    private void carryOut(int process, List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Action.ShareEvidence share) {
                toPeers(process, peer -> carryOut(peer, boards.get(peer).onEvidence(share.rows(), clock.now())));
            } else if (action instanceof Action.ShareBadVersion share) {
                toPeers(
                        process,
                        peer -> carryOut(peer, boards.get(peer).onBadVersions(List.of(share.mark()), clock.now())));
            } else if (action instanceof Action.EndMove end) {
                store.accept(end);
            }
        }
    }

    private void toPeers(int process, Consumer<Integer> message) {
        for (int peer = 0; peer < boards.size(); peer++) {
            int receiver = peer;
            if (peer != process && random.nextDouble() >= LOSS) {
                clock.after(1 + random.nextInt(DELAY_MILLIS), () -> message.accept(receiver));
            }
        }
    }
}
