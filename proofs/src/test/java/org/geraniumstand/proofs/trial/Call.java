package org.geraniumstand.proofs.trial;

import java.util.Optional;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RequestInfo;

/** Tracks one caller's request with its attempts and its result. */
public final class Call {
    final RequestInfo requestInfo;
    final int process;
    final double arrivedMillis;
    final int answerTokens;
    int relayed;
    int attempt;
    int attempts;
    int executions;
    ServerAttempt serverAttempt;
    FakeServer server;
    double dispatchedMillis;
    double lastByteMillis;
    double firstTokenMillis = -1;
    double endMillis = -1;
    boolean answered;
    Refusal refusal;

    Call(RequestInfo requestInfo, int process, double arrivedMillis, int answerTokens) {
        this.requestInfo = requestInfo;
        this.process = process;
        this.arrivedMillis = arrivedMillis;
        this.answerTokens = answerTokens;
    }

    /** Returns the properties of the request. */
    public RequestInfo requestInfo() {
        return requestInfo;
    }

    /** Returns the arrival time, in milliseconds since the start. */
    public double arrivedMillis() {
        return arrivedMillis;
    }

    /** Returns whether the complete answer was forwarded to the caller. */
    public boolean answered() {
        return answered;
    }

    /** Returns the refusal, or empty if the request was not refused. */
    public Optional<Refusal> refusal() {
        return Optional.ofNullable(refusal);
    }

    /** Returns the number of dispatches of the request. */
    public int attempts() {
        return attempts;
    }

    /** Returns the number of attempts that reached a running server. */
    public int executions() {
        return executions;
    }

    /** Returns the time to the first token, in milliseconds, or -1 if none arrived. */
    public double timeToFirstTokenMillis() {
        return firstTokenMillis < 0 ? -1 : firstTokenMillis - arrivedMillis;
    }

    /** Returns whether the request was answered or refused. */
    public boolean ended() {
        return answered || refusal != null;
    }

    /**
     * Returns whether the answer met both latency targets.
     *
     * @param firstTokenTargetMillis target for the time to the first token, in milliseconds
     * @param betweenTokensTargetMillis target for the mean time between tokens, in milliseconds
     */
    public boolean withinTargets(double firstTokenTargetMillis, double betweenTokensTargetMillis) {
        if (!answered || timeToFirstTokenMillis() > firstTokenTargetMillis) {
            return false;
        }
        return answerTokens < 2 || (endMillis - firstTokenMillis) / (answerTokens - 1) <= betweenTokensTargetMillis;
    }
}
