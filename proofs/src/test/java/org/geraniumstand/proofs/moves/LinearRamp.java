package org.geraniumstand.proofs.moves;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.MoveState;
import org.geraniumstand.model.config.VersionMove;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.AttemptResult;
import org.geraniumstand.model.request.RequestInfo;

/**
 * The baseline: a share that grows evenly until the deadline, withdrawn when the new version's failures pass a limit.
 *
 * <p>It is flattered: all processes see all answers at once.
 */
final class LinearRamp implements Policy {
    private static final double CUT_OFF = 0.05;
    private static final int MIN_ATTEMPTS = 20;

    private final Clockwork clock;
    private final Consumer<Action.EndMove> store;
    private final Map<ServiceId, long[]> counts = new HashMap<>();
    private final Map<ServiceId, MoveState> ended = new HashMap<>();
    private Configuration configuration;

    LinearRamp(Clockwork clock, Consumer<Action.EndMove> store) {
        this.clock = clock;
        this.store = store;
    }

    @Override
    public List<VersionId> versionsFor(int _process, RequestInfo facts) {
        VersionMove move = configuration.moveInProgress(facts.service()).orElse(null);
        MoveState end = ended.get(facts.service());
        if (move == null) {
            return List.of(configuration.service(facts.service()).orElseThrow().version());
        }
        if (end != null) {
            return List.of(end == MoveState.DONE ? move.to() : move.from());
        }
        double passed = clock.now().epochMillis() - move.startEpochMillis();
        double share = passed / (move.deadlineEpochMillis() - move.startEpochMillis());
        boolean next = Math.floorMod(facts.id().value().hashCode() * 0x9E3779B9, 10_000) < share * 10_000;
        return next ? List.of(move.to(), move.from()) : List.of(move.from(), move.to());
    }

    @Override
    public void ended(int _process, RequestInfo facts, BackendServer server, AttemptResult report) {
        configuration
                .moveInProgress(facts.service())
                .filter(move -> move.to().equals(server.version()))
                .ifPresent(move -> count(move, report.end() != AttemptEnd.ANSWERED));
    }

    private void count(VersionMove move, boolean failed) {
        long[] count = counts.computeIfAbsent(move.service(), _s -> new long[2]);
        count[0]++;
        count[1] += failed ? 1 : 0;
        if (count[0] >= MIN_ATTEMPTS && count[1] > CUT_OFF * count[0]) {
            end(move, MoveState.WITHDRAWN);
        }
    }

    private void end(VersionMove move, MoveState state) {
        if (ended.putIfAbsent(move.service(), state) == null) {
            store.accept(new Action.EndMove(move.id(), state, "baseline"));
        }
    }

    @Override
    public void configuration(int _process, Configuration next) {
        configuration = next;
    }

    @Override
    public void fleet(List<BackendServer> _servers) {
        // The baseline does not look at servers.
    }

    @Override
    public void warmth(ServerId _server, boolean _warm) {
        // The baseline does not look at warmth.
    }

    @Override
    public void tick(int _process) {
        for (VersionMove move : configuration.moves()) {
            boolean due = clock.now().epochMillis() >= move.deadlineEpochMillis();
            if (move.state() == MoveState.UNDER_WAY && due) {
                end(move, MoveState.DONE);
            }
        }
    }

    @Override
    public void restart(int _process) {
        // The baseline's state outlives processes.
    }
}
