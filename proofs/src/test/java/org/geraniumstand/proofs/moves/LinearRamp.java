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
 * Implements the baseline: raises the new version's share linearly until the deadline, and withdraws the move when the
 * new version's failure rate exceeds a limit.
 *
 * <p>The comparison favours the baseline: all of its processes see all answers immediately.
 */
final class LinearRamp implements Policy {
    private static final double MAX_FAILURE_RATE = 0.05;
    private static final int MIN_ATTEMPTS = 20;

    private final VirtualTimeScheduler clock;
    private final Consumer<Action.EndMove> store;
    private final Map<ServiceId, long[]> counts = new HashMap<>();
    private final Map<ServiceId, MoveState> ended = new HashMap<>();
    private Configuration configuration;

    LinearRamp(VirtualTimeScheduler clock, Consumer<Action.EndMove> store) {
        this.clock = clock;
        this.store = store;
    }

    @Override
    public List<VersionId> versionsFor(int _process, RequestInfo requestInfo) {
        VersionMove move = configuration.moveInProgress(requestInfo.service()).orElse(null);
        MoveState end = ended.get(requestInfo.service());
        if (move == null) {
            return List.of(
                    configuration.service(requestInfo.service()).orElseThrow().version());
        }
        if (end != null) {
            return List.of(end == MoveState.DONE ? move.to() : move.from());
        }
        double elapsed = clock.now().epochMillis() - move.startEpochMillis();
        double share = elapsed / (move.deadlineEpochMillis() - move.startEpochMillis());
        boolean next = Math.floorMod(requestInfo.id().value().hashCode() * 0x9E3779B9, 10_000) < share * 10_000;
        return next ? List.of(move.to(), move.from()) : List.of(move.from(), move.to());
    }

    @Override
    public void attemptEnded(int _process, RequestInfo requestInfo, BackendServer server, AttemptResult report) {
        configuration
                .moveInProgress(requestInfo.service())
                .filter(move -> move.to().equals(server.version()))
                .ifPresent(move -> count(move, report.end() != AttemptEnd.ANSWERED));
    }

    private void count(VersionMove move, boolean failed) {
        long[] count = counts.computeIfAbsent(move.service(), _s -> new long[2]);
        count[0]++;
        count[1] += failed ? 1 : 0;
        if (count[0] >= MIN_ATTEMPTS && count[1] > MAX_FAILURE_RATE * count[0]) {
            end(move, MoveState.WITHDRAWN);
        }
    }

    private void end(VersionMove move, MoveState state) {
        if (ended.putIfAbsent(move.service(), state) == null) {
            store.accept(new Action.EndMove(move.id(), state, "baseline"));
        }
    }

    @Override
    public void updateConfiguration(int _process, Configuration next) {
        configuration = next;
    }

    @Override
    public void updateFleet(List<BackendServer> _servers) {
        // The baseline ignores the server list.
    }

    @Override
    public void updateWarmth(ServerId _server, boolean _warm) {
        // The baseline ignores whether servers are warm.
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
        // The baseline keeps its state across process restarts.
    }
}
