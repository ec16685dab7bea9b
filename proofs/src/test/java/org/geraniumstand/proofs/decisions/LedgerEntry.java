package org.geraniumstand.proofs.decisions;

import org.geraniumstand.decisions.Action;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.Outcome;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RequestInfo;

/** Records the attempts of one request and whether its caller received an answer or a refusal. */
final class LedgerEntry {
    private final RequestInfo requestInfo;
    private BackendServer server;
    private int attempt;
    private boolean running;
    private boolean mayHaveRun;
    private boolean ended;

    LedgerEntry(RequestInfo requestInfo) {
        this.requestInfo = requestInfo;
    }

    RequestInfo requestInfo() {
        return requestInfo;
    }

    BackendServer server() {
        return server;
    }

    boolean running() {
        return running;
    }

    void dispatch(Action.Dispatch dispatch) {
        Require.that(!ended, requestInfo.id() + " was dispatched after its answer");
        Require.that(dispatch.attempt() == attempt + 1, requestInfo.id() + " skipped an attempt number");
        Require.that(requestInfo.idempotent() || !running, requestInfo.id() + " has two concurrent attempts");
        Require.that(
                requestInfo.idempotent() || !mayHaveRun,
                requestInfo.id() + " was dispatched again though it may have run");
        attempt = dispatch.attempt();
        server = dispatch.server();
        running = true;
    }

    int endAttempt(AttemptEnd end) {
        running = false;
        ended = end == AttemptEnd.ANSWERED || (end == AttemptEnd.SERVER_ERROR && !requestInfo.idempotent());
        mayHaveRun |= end != AttemptEnd.NOT_CONNECTED && end != AttemptEnd.DECLINED;
        return attempt;
    }

    void disconnectCaller() {
        running = false;
        ended = true;
    }

    void refuse(Refusal refusal) {
        Require.that(!ended, requestInfo.id() + " was refused after its answer");
        boolean possiblyRun = mayHaveRun || running;
        Require.that(
                refusal.outcome() == Outcome.UNKNOWN || requestInfo.idempotent() || !possiblyRun,
                requestInfo.id() + " was refused as not run though it may have run");
        running = false;
        ended = true;
    }

    void requireEndedOrInProgress() {
        Require.that(ended || running, requestInfo.id() + " has not ended and has no attempt in progress");
    }
}
