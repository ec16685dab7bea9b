package org.geraniumstand.proofs.trial;

import java.util.function.Consumer;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.AttemptResult;

/** Forwards the progress of an attempt at a server to the caller and to the process that dispatched it. */
final class AttemptObserver implements ServerAttempt.Listener {
    private static final int PROGRESS_EVERY_TOKENS = 4;

    private final TrialSimulation simulation;
    private final Call call;
    private final int attempt;
    private final Consumer<Observation> process;
    private double firstByteMillis = -1;

    AttemptObserver(TrialSimulation simulation, Call call, int attempt, Consumer<Observation> process) {
        this.simulation = simulation;
        this.call = call;
        this.attempt = attempt;
        this.process = process;
    }

    @Override
    public void onFirstToken() {
        if (stale()) {
            return;
        }
        firstByteMillis = elapsed();
        if (call.firstTokenMillis < 0) {
            call.firstTokenMillis = simulation.virtualClock().millis();
        }
        process.accept(new Observation.AnswerStarted(call.requestInfo.id(), attempt, Math.round(firstByteMillis)));
    }

    @Override
    public void onToken() {
        if (stale()) {
            return;
        }
        call.lastByteMillis = simulation.virtualClock().millis();
        call.relayed++;
        if (call.relayed % PROGRESS_EVERY_TOKENS == 0) {
            process.accept(new Observation.StreamProgressed(call.requestInfo.id(), attempt, call.relayed));
        }
    }

    @Override
    public void onEnd(AttemptEnd end, int cachedTokens) {
        if (stale()) {
            return;
        }
        call.serverAttempt = null;
        if (end == AttemptEnd.ANSWERED) {
            call.answered = true;
            simulation.end(call);
        }
        report(end, cachedTokens);
        if (end == AttemptEnd.SERVER_ERROR && !call.requestInfo.idempotent()) {
            simulation.end(call);
        }
    }

    void onResponseTimeout() {
        report(AttemptEnd.SILENT, -1);
    }

    private void report(AttemptEnd end, int cachedTokens) {
        AttemptResult report =
                new AttemptResult(end, Math.round(firstByteMillis), Math.round(elapsed()), call.relayed, cachedTokens);
        process.accept(new Observation.AttemptEnded(call.requestInfo.id(), attempt, report));
    }

    private double elapsed() {
        return simulation.virtualClock().millis() - call.dispatchedMillis;
    }

    private boolean stale() {
        return call.ended() || call.attempt != attempt || call.serverAttempt == null;
    }
}
