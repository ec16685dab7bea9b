package org.geraniumstand.proofs.decisions;

import org.geraniumstand.decisions.Action;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.Outcome;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RequestInfo;

/** What was done with one request and what its caller was told. */
final class LedgerEntry {
    private final RequestInfo facts;
    private BackendServer server;
    private int attempt;
    private boolean running;
    private boolean mayHaveRun;
    private boolean ended;

    LedgerEntry(RequestInfo facts) {
        this.facts = facts;
    }

    RequestInfo facts() {
        return facts;
    }

    BackendServer server() {
        return server;
    }

    boolean running() {
        return running;
    }

    void dispatch(Action.Dispatch dispatch) {
        Require.that(!ended, facts.id() + " was dispatched after its answer");
        Require.that(dispatch.attempt() == attempt + 1, facts.id() + " skipped an attempt number");
        Require.that(facts.idempotent() || !running, facts.id() + " is dispatched twice at once");
        Require.that(facts.idempotent() || !mayHaveRun, facts.id() + " is dispatched though it may have run");
        attempt = dispatch.attempt();
        server = dispatch.server();
        running = true;
    }

    int endAttempt(AttemptEnd end) {
        running = false;
        ended = end == AttemptEnd.ANSWERED || (end == AttemptEnd.SERVER_ERROR && !facts.idempotent());
        mayHaveRun |= end != AttemptEnd.NOT_CONNECTED && end != AttemptEnd.DECLINED;
        return attempt;
    }

    void abandon() {
        running = false;
        ended = true;
    }

    void refuse(Refusal refusal) {
        Require.that(!ended, facts.id() + " was refused after its answer");
        boolean reached = mayHaveRun || running;
        Require.that(
                refusal.outcome() == Outcome.UNKNOWN || facts.idempotent() || !reached,
                facts.id() + " was told not-run though it may have run");
        running = false;
        ended = true;
    }

    void requireAnswerOrAttempt() {
        Require.that(ended || running, facts.id() + " has neither an answer nor an attempt under way");
    }
}
