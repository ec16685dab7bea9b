package org.geraniumstand.proofs.trial;

import java.util.function.Consumer;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.AttemptResult;

/** Tells a caller and its process what a server does with an attempt. */
final class AttemptRelay implements Work.Listener {
    private static final int TELL_EVERY_TOKENS = 4;

    private final TrialWorld world;
    private final Call call;
    private final int attempt;
    private final Consumer<Observation> process;
    private double firstByteMillis = -1;

    AttemptRelay(TrialWorld world, Call call, int attempt, Consumer<Observation> process) {
        this.world = world;
        this.call = call;
        this.attempt = attempt;
        this.process = process;
    }

    @Override
    public void onFirst() {
        if (stale()) {
            return;
        }
        firstByteMillis = elapsed();
        if (call.firstMillis < 0) {
            call.firstMillis = world.time().millis();
        }
        process.accept(new Observation.AnswerStarted(call.facts.id(), attempt, Math.round(firstByteMillis)));
    }

    @Override
    public void onToken() {
        if (stale()) {
            return;
        }
        call.lastByteMillis = world.time().millis();
        call.relayed++;
        if (call.relayed % TELL_EVERY_TOKENS == 0) {
            process.accept(new Observation.StreamProgressed(call.facts.id(), attempt, call.relayed));
        }
    }

    @Override
    public void onEnd(AttemptEnd end, int cachedTokens) {
        if (stale()) {
            return;
        }
        call.work = null;
        if (end == AttemptEnd.ANSWERED) {
            call.answered = true;
            world.end(call);
        }
        report(end, cachedTokens);
        if (end == AttemptEnd.SERVER_ERROR && !call.facts.idempotent()) {
            world.end(call);
        }
    }

    void silent() {
        report(AttemptEnd.SILENT, -1);
    }

    private void report(AttemptEnd end, int cachedTokens) {
        AttemptResult report =
                new AttemptResult(end, Math.round(firstByteMillis), Math.round(elapsed()), call.relayed, cachedTokens);
        process.accept(new Observation.AttemptEnded(call.facts.id(), attempt, report));
    }

    private double elapsed() {
        return world.time().millis() - call.dispatchedMillis;
    }

    private boolean stale() {
        return call.ended() || call.attempt != attempt || call.work == null;
    }
}
