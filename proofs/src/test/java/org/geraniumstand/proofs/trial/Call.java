package org.geraniumstand.proofs.trial;

import java.util.Optional;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RequestInfo;

/** A caller's request with what became of it. */
public final class Call {
    final RequestInfo facts;
    final int process;
    final double arrivedMillis;
    final int answerTokens;
    int relayed;
    int attempt;
    int attempts;
    int runs;
    Work work;
    FakeServer server;
    double dispatchedMillis;
    double lastByteMillis;
    double firstMillis = -1;
    double endMillis = -1;
    boolean answered;
    Refusal refusal;

    Call(RequestInfo facts, int process, double arrivedMillis, int answerTokens) {
        this.facts = facts;
        this.process = process;
        this.arrivedMillis = arrivedMillis;
        this.answerTokens = answerTokens;
    }

    /** Returns the request. */
    public RequestInfo facts() {
        return facts;
    }

    /** Returns when it arrived, in milliseconds since the start. */
    public double arrivedMillis() {
        return arrivedMillis;
    }

    /** Returns whether the whole answer was relayed. */
    public boolean answered() {
        return answered;
    }

    /** Returns how it was refused, if it was. */
    public Optional<Refusal> refusal() {
        return Optional.ofNullable(refusal);
    }

    /** Returns how often it was dispatched. */
    public int attempts() {
        return attempts;
    }

    /** Returns how often a server began to work on it. */
    public int runs() {
        return runs;
    }

    /** Returns how long the caller waited for the first token, in milliseconds, or -1 without one. */
    public double firstAfterMillis() {
        return firstMillis < 0 ? -1 : firstMillis - arrivedMillis;
    }

    /** Returns whether the request came to an end. */
    public boolean ended() {
        return answered || refusal != null;
    }

    /**
     * Returns whether the answer met the targets.
     *
     * @param firstTarget for the first token, in milliseconds
     * @param betweenTarget between tokens on average, in milliseconds
     */
    public boolean inTarget(double firstTarget, double betweenTarget) {
        if (!answered || firstAfterMillis() > firstTarget) {
            return false;
        }
        return answerTokens < 2 || (endMillis - firstMillis) / (answerTokens - 1) <= betweenTarget;
    }
}
